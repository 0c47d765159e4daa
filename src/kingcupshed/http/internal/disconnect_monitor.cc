#include "kingcupshed/http/internal/disconnect_monitor.h"

#include <utility>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace kingcupshed::http {

namespace asio = boost::asio;

DisconnectMonitor::DisconnectMonitor(asio::ip::tcp::socket& socket,
                                     std::function<void()> on_disconnect)
    : socket_(socket),
      on_disconnect_(std::move(on_disconnect)),
      stopped_(socket.get_executor()) {}

void DisconnectMonitor::Start() {
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

void DisconnectMonitor::HandleReadable() {
  char byte = 0;
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  socket_.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek,
                  error);
  // Readable bytes are the next request of a caller that pipelines requests.
  if (error && error != asio::error::would_block) {
    on_disconnect_();
  }
}

asio::awaitable<void> DisconnectMonitor::Stop() {
  cancel_.emit(asio::cancellation_type::terminal);
  while (watching_) {
    stopped_.expires_at(asio::steady_timer::time_point::max());
    boost::system::error_code error;
    co_await stopped_.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
}

}  // namespace kingcupshed::http
