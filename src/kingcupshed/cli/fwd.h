#pragma once

namespace kingcupshed::cli {

enum class Error : unsigned char;
enum class ExitStatus : int;
struct Explanation;
struct PublishOptions;
struct StatusOptions;
struct VmTable;
class LogReader;

}  // namespace kingcupshed::cli
