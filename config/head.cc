// Encodes and compares configuration heads. Heads are compared by the digests
// of their sections only.

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "config/config.h"
#include "fmt/format.h"

namespace clementine {

std::string TextDigest(const std::string& text) {
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::uint64_t TextHash(std::string_view text) {
  return XXH3_128bits(text.data(), text.size()).high64;
}

std::string HeadDigest(const ConfigHead& head) {
  std::string listing;
  for (const auto& [name, digest] : head.sections) {
    listing.append(name).append(1, '\n').append(digest).append(1, '\n');
  }
  return TextDigest(listing);
}

std::string EncodeHead(const ConfigHead& head) {
  nlohmann::json json = {{"generation", head.generation},
                         {"apply_id", head.apply_id},
                         {"author", head.author},
                         {"sections", head.sections},
                         {"earlier_applies", head.earlier_applies}};
  return JsonText(json);
}

ConfigHead DecodeHead(const std::string& json) {
  try {
    nlohmann::json value = ParseJson(json);
    ConfigHead head;
    head.generation = value.at("generation").get<std::uint64_t>();
    head.apply_id = value.at("apply_id").get<std::string>();
    head.author = value.value("author", "");
    value.at("sections").get_to(head.sections);
    head.earlier_applies = value.value("earlier_applies", head.earlier_applies);
    return head;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(
        fmt::format("invalid configuration head: {}", error.what()));
  }
}

std::vector<SectionChange> DiffHeads(const ConfigHead& from,
                                     const ConfigHead& to) {
  std::vector<SectionChange> changes;
  for (const auto& [name, digest] : from.sections) {
    auto found = to.sections.find(name);
    if (found == to.sections.end()) {
      changes.push_back({SectionChange::Kind::kRemoved, name});
    } else if (found->second != digest) {
      changes.push_back({SectionChange::Kind::kChanged, name});
    }
  }
  for (const auto& [name, digest] : to.sections) {
    if (from.sections.count(name) == 0) {
      changes.push_back({SectionChange::Kind::kAdded, name});
    }
  }
  return changes;
}

}  // namespace clementine
