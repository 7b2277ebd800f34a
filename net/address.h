// Addresses of the form IP:port; names aren't resolved.
#ifndef NET_ADDRESS_H_
#define NET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace clementine {

/// @throws std::runtime_error when the text isn't IP:port.
boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace clementine

#endif  // NET_ADDRESS_H_
