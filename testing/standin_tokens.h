// What a model engine stand-in computes from a request's content, so that tests
// know the right answer without asking an engine.
#ifndef TESTING_STANDIN_TOKENS_H_
#define TESTING_STANDIN_TOKENS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace clementine::standin {

/// Bytes of the prompt that count as one token.
inline constexpr std::size_t kBytesPerToken = 4;
/// Bytes of the prompt in one block of the prefix cache.
inline constexpr std::size_t kBytesPerBlock = 256;
/// Tokens answered when the request has no "max_tokens".
inline constexpr int kDefaultMaxTokens = 16;

/// Text of all messages of a chat request: role, newline, content, newline for
/// each. @throws nlohmann::json::exception when it isn't a chat request.
std::string PromptText(const nlohmann::json& request);

/// Seed of all tokens of a chat request; the same for equal model and messages.
std::uint64_t ContentSeed(const nlohmann::json& request);

/// Token `index` (the first is 0) of the answer.
std::string TokenText(std::uint64_t seed, std::uint64_t index);

/// Number of tokens of the whole answer.
int TokenCount(const nlohmann::json& request);

/// The whole answer's text.
std::string AnswerText(const nlohmann::json& request);

/// Hashes of the prompt's whole blocks. Each is the XXH3-64 of the block with
/// the previous block's hash as seed (0 for the first), so that equal hashes
/// mean equal prefixes.
std::vector<std::uint64_t> PrefixBlocks(const std::string& prompt);

}  // namespace clementine::standin

#endif  // TESTING_STANDIN_TOKENS_H_
