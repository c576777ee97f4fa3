// The messages by which a node gets its configuration from another:
// the control call configuration.fetch.
#ifndef CONFIGURATION_FETCH_H_
#define CONFIGURATION_FETCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "configuration/documents.h"
#include "configuration/head.h"
#include "configuration/local_configuration.h"
#include "configuration/packed_document_cache.h"

namespace chestnutport::configuration {

inline constexpr char kFetchMethod[] = "configuration.fetch";

struct FetchRequest {
  uint64_t have = 0;  // The revision that the asker holds; zero: send all.

  std::string ToJson() const;
  static std::optional<FetchRequest> FromJson(std::string_view text);
};

struct FetchResponse {
  uint64_t revision = 0;  // What the answerer holds.
  // Only if it is newer than what the asker holds: the head, and the documents
  // that the asker lacks.
  std::optional<Head> head;
  std::map<std::string, std::string, std::less<>> packed;  // By hash.
  Documents documents;  // Unpacked, once it was read.

  std::string ToJson() const;
  static std::optional<FetchResponse> FromJson(std::string_view text);
};

FetchResponse MakeFetchResponse(const FetchRequest& request,
                                const LocalConfiguration& local,
                                PackedDocumentCache& packed);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_FETCH_H_
