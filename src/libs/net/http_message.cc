#include "net/http_message.h"

#include <algorithm>
#include <array>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "base/text.h"

namespace chestnutport::net {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection", "keep-alive", "proxy-authenticate",
    "te",         "trailer",    "transfer-encoding",
    "upgrade",    "expect",     "proxy-connection"};

constexpr char kDelete = 0x7f;

// The characters of a token, by RFC 9110 section 5.6.2.
bool IsTokenCharacter(char c) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return letter || (c >= '0' && c <= '9') ||
         kOthers.find(c) != std::string_view::npos;
}

bool IsControl(char c) {
  return (c >= 0 && c < ' ') || c == kDelete;
}

std::string ToLower(std::string_view text) {
  return absl::AsciiStrToLower(base::AbslView(text));
}

// Spaces would end the target early.
bool IsTarget(std::string_view text) {
  return !text.empty() && std::ranges::none_of(text, [](char c) {
    return IsControl(c) || c == ' ';
  });
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, &IsTokenCharacter);
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (base::EqualsIgnoreCase(header.name, name))
      return header.value;
  }
  return {};
}

void RemoveHeader(HttpHeaders& headers, std::string_view name) {
  std::erase_if(headers, [name](const HttpHeader& header) {
    return base::EqualsIgnoreCase(header.name, name);
  });
}

bool IsHopByHop(std::string_view name) {
  return std::ranges::any_of(kHopByHop, [name](std::string_view other) {
    return base::EqualsIgnoreCase(name, other);
  });
}

void RemoveHopByHop(HttpHeaders& headers) {
  // A caller may name as many as it sends.
  absl::flat_hash_set<std::string> named;
  for (const HttpHeader& header : headers) {
    if (!base::EqualsIgnoreCase(header.name, "Connection"))
      continue;
    for (const std::string_view name : base::Split(header.value, ','))
      named.insert(ToLower(base::Trim(name)));
  }
  std::erase_if(headers, [&named](const HttpHeader& header) {
    return IsHopByHop(header.name) ||
           (!named.empty() && named.contains(ToLower(header.name)));
  });
}

bool IsWritable(const HttpHeader& header) {
  return IsToken(header.name) && std::ranges::none_of(header.value, [](char c) {
           return IsControl(c) && c != '\t';
         });
}

bool IsWritable(const HttpRequest& request) {
  return IsToken(request.method) && IsTarget(request.target) &&
         std::ranges::all_of(request.headers, [](const HttpHeader& header) {
           return IsWritable(header);
         });
}

}  // namespace chestnutport::net
