#pragma once

namespace kingcupshed::table {

enum class Error : unsigned char;
enum class Semantics : unsigned char;
enum class Verdict : unsigned char;
struct Row;
struct Table;
struct ValidationError;
struct ParsedTable;
struct Publication;
struct Checkpoint;
struct FollowerConfig;
struct FollowerOutcome;
class VersionLog;
class CheckpointSchedule;
class Follower;

}  // namespace kingcupshed::table
