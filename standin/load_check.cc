#include "standin/load_check.h"

#include <string>

#include "standin/generated_file.h"
#include "standin/load_client.h"

namespace standin {

namespace {

/// Returns whether a body is the complete file of a path such as `/x/file/500`.
bool IsExpectedFile(const std::string& path, std::string_view body) {
  constexpr std::string_view kFileSegment = "/file/";
  const std::size_t position = path.find(kFileSegment);
  return position != std::string::npos &&
         path.substr(position + kFileSegment.size()) ==
             std::to_string(body.size()) &&
         GeneratedFile(path).Read(0, body.size()) == body;
}

}  // namespace

bool IsExpectedResponse(const LoadCall& call, std::string_view body) {
  if (IsExpectedFile(call.path, body)) {
    return true;
  }
  const std::size_t name_end = body.find(' ');
  if (name_end == std::string_view::npos) {
    return false;
  }
  body.remove_prefix(name_end + 1);
  return body == call.method + " " + call.path + " " + call.caller + " " +
                     call.body + "\n";
}

}  // namespace standin
