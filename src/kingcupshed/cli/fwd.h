#pragma once

namespace kingcupshed::cli {

enum class Error : unsigned char;
enum class ExitStatus : int;
struct ErrorMessage;
struct PublishOptions;
struct StatusOptions;
struct VmTable;
class TableLogClient;

}  // namespace kingcupshed::cli
