#include "standin/load_check.h"

#include <string>

#include "standin/load_client.h"

namespace standin {

bool IsOwnAnswer(const LoadCall& call, std::string_view body) {
  const std::size_t name_end = body.find(' ');
  if (name_end == std::string_view::npos) {
    return false;
  }
  body.remove_prefix(name_end + 1);
  return body == call.method + " " + call.path + " " + call.caller + " " +
                     call.body + "\n";
}

}  // namespace standin
