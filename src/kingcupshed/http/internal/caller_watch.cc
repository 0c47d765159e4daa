#include "kingcupshed/http/internal/caller_watch.h"

#include <utility>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace kingcupshed::http {

namespace asio = boost::asio;

CallerWatch::CallerWatch(asio::ip::tcp::socket& socket,
                         std::function<void()> on_gone)
    : socket_(socket),
      on_gone_(std::move(on_gone)),
      stopped_(socket.get_executor()) {}

void CallerWatch::Start() {
  watching_ = true;
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      asio::bind_cancellation_slot(
          cancel_.slot(), [this](const boost::system::error_code& error) {
            watching_ = false;
            stopped_.cancel();
            if (!error) {
              HandleReadable();
            }
          }));
}

void CallerWatch::HandleReadable() {
  char byte = 0;
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  socket_.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek,
                  error);
  // Bytes are the next request of a caller that does not wait for answers.
  if (error && error != asio::error::would_block) {
    on_gone_();
  }
}

asio::awaitable<void> CallerWatch::Stop() {
  cancel_.emit(asio::cancellation_type::terminal);
  while (watching_) {
    stopped_.expires_at(asio::steady_timer::time_point::max());
    boost::system::error_code error;
    co_await stopped_.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
}

}  // namespace kingcupshed::http
