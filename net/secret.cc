// OpenSSL supplies the primitives; nothing here branches on secret content.

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <iterator>
#include <stdexcept>

#include "fmt/format.h"
#include "net/net.h"

namespace clementine {

bool SecretsEqual(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string MessageCode(std::string_view key, std::string_view text) {
  std::string code(EVP_MAX_MD_SIZE, '\0');
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       reinterpret_cast<unsigned char*>(code.data()), &size);
  code.resize(size);
  return code;
}

std::string HexText(std::string_view bytes) {
  std::string text;
  for (char byte : bytes) {
    fmt::format_to(std::back_inserter(text), "{:02x}",
                   static_cast<unsigned char>(byte));
  }
  return text;
}

std::string RandomToken(std::size_t bytes) {
  std::string random(bytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(random.data()),
                 static_cast<int>(bytes)) != 1) {
    throw std::runtime_error("no random bytes can be had");
  }
  return HexText(random);
}

}  // namespace clementine
