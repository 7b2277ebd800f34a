// Reads HTTP messages with a hook after each read from the connection, so that
// bytes which the parser has not consumed yet can be counted.
#ifndef NET_READ_SOME_H_
#define NET_READ_SOME_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <functional>

namespace clementine {

/// As beast::http::async_read_some, which may read until its buffer is full
/// before it returns: parses buffered bytes, and reads more until the parser
/// makes progress.
/// @param on_read Called after each read from the connection.
/// @param before_read Called before each, if given.
/// @return http::error::buffer_overflow if a part of the message that has to be
///     parsed as a whole exceeds the maximum size of the buffer.
template <typename Stream, typename Parser>
boost::asio::awaitable<boost::system::error_code> ReadSome(
    Stream* stream, boost::beast::flat_buffer* buffer, Parser* parser,
    const std::function<void()>* on_read,
    const std::function<void()>* before_read = nullptr) {
  namespace http = boost::beast::http;
  constexpr std::size_t kMaxReadBytes = 65'536;
  boost::system::error_code error = http::error::need_more;
  if (buffer->size() > 0) {
    error = {};
    buffer->consume(parser->put(buffer->data(), error));
    // Lets other handlers run, such as those that write what was read before.
    if (error != http::error::need_more) {
      co_await boost::asio::post(stream->get_executor(),
                                 boost::asio::use_awaitable);
    }
  }
  while (error == http::error::need_more) {
    std::size_t size = boost::beast::read_size(*buffer, kMaxReadBytes);
    if (size == 0) co_return http::error::buffer_overflow;
    error = {};
    if (before_read != nullptr) (*before_read)();
    std::size_t read = co_await stream->async_read_some(
        buffer->prepare(size),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    buffer->commit(read);
    (*on_read)();
    if (error == boost::asio::error::eof) {
      if (!parser->got_some()) co_return http::error::end_of_stream;
      error = {};
      parser->put_eof(error);
      co_return error;
    }
    if (error) co_return error;
    buffer->consume(parser->put(buffer->data(), error));
  }
  co_return error;
}

}  // namespace clementine

#endif  // NET_READ_SOME_H_
