#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "standin/target.h"

namespace standin {

/// State of one connection to a target, which control requests may change.
struct TargetConnection {
  /// Whether the connection discards its input and sends nothing more.
  bool silent = false;
  /// Whether the connection exceeds the target's limit; it is closed after its
  /// first response.
  bool over_cap = false;
  /// One-way delay to the caller.
  Duration delay{};
};

}  // namespace standin
