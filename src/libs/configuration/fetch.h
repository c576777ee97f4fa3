// Messages of the control call configuration.fetch, by which a node gets a
// newer configuration from a peer.
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
  // The revision that the requesting node holds; zero requests all documents.
  uint64_t have = 0;

  std::string ToJson() const;
  static std::optional<FetchRequest> FromJson(std::string_view text);
};

struct FetchResponse {
  uint64_t revision = 0;  // Held by the responding node.
  // The head, and in `packed` the documents that the requesting node lacks. Set
  // only if `revision` is newer than the one in the request.
  std::optional<Head> head;
  std::map<std::string, std::string, std::less<>> packed;  // By hash.
  Documents documents;  // Unpacked from `packed` by FromJson().

  std::string ToJson() const;
  static std::optional<FetchResponse> FromJson(std::string_view text);
};

FetchResponse MakeFetchResponse(const FetchRequest& request,
                                const LocalConfiguration& local,
                                PackedDocumentCache& packed);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_FETCH_H_
