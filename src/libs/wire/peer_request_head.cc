#include "wire/peer_request_head.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/encoding.h"
#include "base/text.h"
#include "wire/header_names.h"

namespace chestnutport::wire {

using net::FindHeader;

namespace {

constexpr char kYes[] = "1";
constexpr char kIfFull[] = "if-full";

// What is missing or no number of 1 or more counts as 1.
double ReadStrain(std::string_view text) {
  double strain = 1;
  if (!absl::SimpleAtod(base::AbslView(text), &strain))
    return 1;
  return strain >= 1 ? strain : 1;
}

}  // namespace

void PeerRequestHead::AppendTo(net::HttpHeaders& headers,
                               std::string_view key) const {
  headers.push_back({kAttemptHeader, attempt.ToString()});
  headers.push_back({kTargetHeader, target.ToString()});
  headers.push_back({kServiceHeader, service});
  headers.push_back({kDeadlineHeader, base::FormatDuration(remaining)});
  if (!tenant.empty())
    headers.push_back({kTenantHeader, tenant});
  if (!traffic_class.empty())
    headers.push_back({kClassHeader, traffic_class});
  if (!work_kind.empty())
    headers.push_back({kWorkKindHeader, work_kind});
  headers.push_back({kDepthHeader, absl::StrCat(depth)});
  if (target_in)
    headers.push_back({kTargetInHeader, base::FormatDuration(*target_in)});
  if (may_move)
    headers.push_back({kMayMoveHeader, may_move_if_full ? kIfFull : kYes});
  if (may_move && usual_strain > 1) {
    headers.push_back(
        {kUsualStrainHeader, absl::StrFormat("%.2f", usual_strain)});
  }
  if (may_stop)
    headers.push_back({kMayStopHeader, kYes});
  if (!request_name.empty())
    headers.push_back({kRequestNameHeader, request_name});
  if (fingerprint.value != 0)
    headers.push_back({kFingerprintHeader, fingerprint.ToString()});
  if (is_suspect)
    headers.push_back({kSuspectHeader, kYes});
  const std::string notice = server_notice ? server_notice->ToHeader() : "";
  if (!notice.empty())
    headers.push_back({kServerNoticeHeader, notice});
  headers.push_back({kSignatureHeader, Signature(key)});
}

std::optional<PeerRequestHead> PeerRequestHead::Read(
    const net::HttpHeaders& headers) {
  const auto attempt =
      base::AttemptId::Parse(FindHeader(headers, kAttemptHeader));
  const auto target = base::NodeId::Parse(FindHeader(headers, kTargetHeader));
  const auto remaining =
      base::ParseDuration(FindHeader(headers, kDeadlineHeader));
  PeerRequestHead head;
  if (!attempt || !target || !remaining ||
      !base::ParseNumber(FindHeader(headers, kDepthHeader), &head.depth)) {
    return std::nullopt;
  }
  head.attempt = *attempt;
  head.target = *target;
  head.remaining = *remaining;
  head.target_in = base::ParseDuration(FindHeader(headers, kTargetInHeader));
  const std::string_view may_move = FindHeader(headers, kMayMoveHeader);
  head.may_move = may_move == kYes || may_move == kIfFull;
  head.may_move_if_full = may_move == kIfFull;
  head.usual_strain = ReadStrain(FindHeader(headers, kUsualStrainHeader));
  head.may_stop = FindHeader(headers, kMayStopHeader) == kYes;
  head.request_name = FindHeader(headers, kRequestNameHeader);
  head.fingerprint =
      base::RequestFingerprint::Parse(FindHeader(headers, kFingerprintHeader))
          .value_or(base::RequestFingerprint());
  head.is_suspect = FindHeader(headers, kSuspectHeader) == kYes;
  head.server_notice =
      PeerServerNotice::FromHeader(FindHeader(headers, kServerNoticeHeader));
  head.service = FindHeader(headers, kServiceHeader);
  head.tenant = FindHeader(headers, kTenantHeader);
  head.traffic_class = FindHeader(headers, kClassHeader);
  head.work_kind = FindHeader(headers, kWorkKindHeader);
  return head;
}

bool PeerRequestHead::IsSignedWith(const net::HttpHeaders& headers,
                                   std::string_view key) const {
  return !key.empty() &&
         base::EqualInConstantTime(FindHeader(headers, kSignatureHeader),
                                   Signature(key));
}

std::string PeerRequestHead::Signature(std::string_view key) const {
  return base::KeyedDigest(key, absl::StrCat(attempt.ToString(), " ",
                                             target.ToString(), " ", service));
}

}  // namespace chestnutport::wire
