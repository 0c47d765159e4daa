#include "standin/endless_response.h"

#include <algorithm>
#include <array>

namespace standin {

namespace {

constexpr std::size_t kWriteBytes = 16UL * 1024;

constexpr std::array<EndlessResponse, 11> kEndlessResponses{{
    {"endless-bytes", "", "x"},
    {"endless-field", "HTTP/1.1 200 OK\r\n{own}X: ", "x"},
    {"endless-fields", "HTTP/1.1 200 OK\r\n{own}", "X: x\r\n"},
    {"endless-interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"endless-foreign", "",
     "HTTP/1.1 200 OK\r\n{foreign}Content-Length: 4\r\n\r\nelse"},
    {"endless-foreign-body",
     "HTTP/1.1 200 OK\r\n{foreign}Transfer-Encoding: chunked\r\n\r\n",
     "4\r\nelse\r\n"},
    {"endless-chunk-head",
     "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n4;", "x"},
    {"endless-trailer",
     "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n"
     "4\r\nfine\r\n0\r\n",
     "X: x\r\n"},
    {"endless-chunks",
     "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n",
     "4\r\nfine\r\n"},
    {"endless-body", "HTTP/1.1 200 OK\r\n{own}\r\n", "x"},
    {"endless-surplus", "HTTP/1.1 200 OK\r\n{own}Content-Length: 4\r\n\r\nfine",
     "x"},
}};

void Replace(std::string& text,
             std::string_view placeholder,
             std::string_view fields) {
  const std::size_t at = text.find(placeholder);
  if (at != std::string::npos) {
    text.replace(at, placeholder.size(), fields);
  }
}

}  // namespace

std::span<const EndlessResponse> EndlessResponses() {
  return kEndlessResponses;
}

const EndlessResponse* FindEndlessResponse(std::string_view fault) {
  const auto found = std::find_if(
      kEndlessResponses.begin(), kEndlessResponses.end(),
      [&](const EndlessResponse& response) { return response.fault == fault; });
  return found == kEndlessResponses.end() ? nullptr : &*found;
}

std::string WithFields(std::string_view text,
                       std::string_view own,
                       std::string_view foreign) {
  std::string filled(text);
  Replace(filled, "{own}", own);
  Replace(filled, "{foreign}", foreign);
  return filled;
}

std::string RepeatForWrite(std::string_view text) {
  std::string repeated;
  while (repeated.size() < kWriteBytes) {
    repeated += text;
  }
  return repeated;
}

}  // namespace standin
