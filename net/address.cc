// IPv6 addresses are written in brackets, as in URLs.

#include "net/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <stdexcept>

#include "fmt/format.h"
#include "net/net.h"

namespace clementine {

boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  boost::system::error_code error = boost::asio::error::invalid_argument;
  boost::asio::ip::address ip;
  if (colon != std::string::npos) {
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
      host = host.substr(1, host.size() - 2);
    }
    const char* end = address.data() + address.size();
    auto [stop, fault] = std::from_chars(address.data() + colon + 1, end, port);
    if (fault == std::errc() && stop == end) {
      ip = boost::asio::ip::make_address(host, error);
    }
  }
  if (error) {
    throw std::runtime_error(
        fmt::format("\"{}\" isn't an address of the form IP:port", address));
  }
  return {ip, port};
}

bool IsEndpoint(const std::string& address) {
  try {
    ParseEndpoint(address);
    return true;
  } catch (const std::runtime_error&) {
    return false;
  }
}

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().is_v6()
             ? fmt::format("[{}]:{}", endpoint.address().to_string(),
                           endpoint.port())
             : fmt::format("{}:{}", endpoint.address().to_string(),
                           endpoint.port());
}

}  // namespace clementine
