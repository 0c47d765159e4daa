#pragma once

#include <span>
#include <string>
#include <string_view>

namespace standin {

/// Bytes that a faulty target sends until the caller closes the connection.
///
/// In both texts, `{own}` stands for header fields that name the request, and
/// `{foreign}` for ones that name another request.
struct EndlessResponse {
  /// Name of the fault.
  std::string_view fault;
  /// Sent once.
  std::string_view start;
  /// Sent over and over after `start`.
  std::string_view repeated;
};

/// Returns all kinds of endless responses.
[[nodiscard]] std::span<const EndlessResponse> EndlessResponses();

/// Returns the endless response of a fault; null if it is another kind of
/// fault.
[[nodiscard]] const EndlessResponse* FindEndlessResponse(
    std::string_view fault);

/// Returns a text of an endless response with header fields in place of
/// `{own}` and `{foreign}`.
[[nodiscard]] std::string WithFields(std::string_view text,
                                     std::string_view own,
                                     std::string_view foreign);

/// Returns a text as many times over as make up a write of several KiB.
[[nodiscard]] std::string RepeatForWrite(std::string_view text);

}  // namespace standin
