#include "standin/load_check.h"

#include <string>

#include "standin/load_client.h"
#include "standin/pattern.h"

namespace standin {

namespace {

constexpr std::string_view kFileMark = "/file/";

}  // namespace

bool IsOwnAnswer(const LoadCall& call, std::string_view body) {
  const std::size_t mark = call.path.find(kFileMark);
  if (mark != std::string::npos) {
    const std::size_t size =
        std::stoul(call.path.substr(mark + kFileMark.size()));
    return body.size() == size && body == Pattern(call.path).Read(0, size);
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
