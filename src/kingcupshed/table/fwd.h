#pragma once

namespace kingcupshed::table {

enum class Semantics : unsigned char;
struct Row;
struct Table;
struct Fault;
struct ParsedTable;

}  // namespace kingcupshed::table
