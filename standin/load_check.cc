#include "standin/load_check.h"

#include <string>

#include "standin/generated_file.h"
#include "standin/load_client.h"

namespace standin {

namespace {

/// Tells whether a body is the file that a path such as `/x/file/500` names.
bool IsOwnFile(const std::string& path, std::string_view body) {
  constexpr std::string_view kFilePart = "/file/";
  const std::size_t at = path.find(kFilePart);
  return at != std::string::npos &&
         path.substr(at + kFilePart.size()) == std::to_string(body.size()) &&
         GeneratedFile(path).Read(0, body.size()) == body;
}

}  // namespace

bool IsOwnAnswer(const LoadCall& call, std::string_view body) {
  if (IsOwnFile(call.path, body)) {
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
