#include "server/server_finder.h"

#include <utility>

namespace chestnutport::server {
namespace {

constexpr int kOk = 200;
// Between two questions: a fraction of the time between two announcements,
// which is a second or two.
constexpr std::chrono::milliseconds kInterval(100);
constexpr std::chrono::milliseconds kTimeout(200);
// Later its announcement has come, or there is no server.
constexpr int kMostQuestions = 20;

}  // namespace

ServerFinder::ServerFinder(net::EventLoop& loop,
                           AnyServerProtocol protocol,
                           Handler handler)
    : loop_(loop),
      protocol_(std::move(protocol)),
      handler_(std::move(handler)),
      client_(loop, net::HttpClientOptions{}) {}

ServerFinder::~ServerFinder() {
  loop_.Cancel(timer_);
}

void ServerFinder::Look(const Place& place) {
  const bool is_known = place.address.port != 0 && !place.health_path.empty();
  if (is_over_ || asked_ > 0 || !is_known)
    return;
  place_ = place;
  Ask();
}

void ServerFinder::Stop() {
  is_over_ = true;
  loop_.Cancel(std::exchange(timer_, 0));
}

void ServerFinder::Ask() {
  timer_ = 0;
  if (is_over_ || ++asked_ > kMostQuestions) {
    Stop();
    return;
  }
  client_.Send(place_.address, {.method = "GET", .target = place_.health_path},
               kTimeout,
               [this](const net::TransferResult& result) { OnAnswer(result); });
}

void ServerFinder::OnAnswer(const net::TransferResult& result) {
  if (is_over_)
    return;
  const bool is_well =
      result.end == net::TransferEnd::kComplete && result.answer.status == kOk;
  const std::string instance = protocol_.instance(result.answer.headers);
  const auto load = protocol_.load(result.answer.headers);
  if (!is_well || instance.empty() || !load || load->slots < 1) {
    timer_ = loop_.CallAfter(kInterval, [this] { Ask(); });
    return;
  }
  Stop();
  ServerAnnouncement found;
  found.service = place_.service;
  found.address = place_.address;
  found.slots = load->slots;
  found.instance = instance;
  found.cold_for = protocol_.ColdByHealth(result.answer.headers);
  handler_(found);
}

}  // namespace chestnutport::server
