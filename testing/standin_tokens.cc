// Tokens are derived by hashing and not by counting, so that a token from
// another request or another offset is recognised as wrong.

#include "testing/standin_tokens.h"

#include "fmt/format.h"
#include "xxhash.h"

namespace clementine::standin {

std::string PromptText(const nlohmann::json& request) {
  std::string prompt;
  for (const auto& message : request.at("messages")) {
    prompt += message.value("role", "");
    prompt += '\n';
    prompt += message.at("content").get<std::string>();
    prompt += '\n';
  }
  return prompt;
}

std::uint64_t ContentSeed(const nlohmann::json& request) {
  std::string text = request.value("model", "") + '\n' + PromptText(request);
  return XXH3_64bits(text.data(), text.size());
}

std::string TokenText(std::uint64_t seed, std::uint64_t index) {
  std::uint64_t hash = XXH3_64bits_withSeed(&index, sizeof index, seed);
  return fmt::format(" {:05x}", hash % 0x100000);
}

int TokenCount(const nlohmann::json& request) {
  return request.value("max_tokens", kDefaultMaxTokens);
}

std::string AnswerText(const nlohmann::json& request) {
  std::string text;
  std::uint64_t seed = ContentSeed(request);
  for (int i = 0; i < TokenCount(request); ++i) {
    text += TokenText(seed, static_cast<std::uint64_t>(i));
  }
  return text;
}

std::vector<std::uint64_t> PrefixBlocks(const std::string& prompt) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t previous = 0;
  for (std::size_t at = 0; at + kBytesPerBlock <= prompt.size();
       at += kBytesPerBlock) {
    previous = XXH3_64bits_withSeed(&prompt[at], kBytesPerBlock, previous);
    blocks.push_back(previous);
  }
  return blocks;
}

}  // namespace clementine::standin
