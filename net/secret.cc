// OpenSSL supplies the primitives; nothing here branches on secret content.

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

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

}  // namespace clementine
