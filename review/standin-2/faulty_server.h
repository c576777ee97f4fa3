// A server that sends bytes which belong to no request.
#ifndef REVIEW_STANDIN_2_FAULTY_SERVER_H_
#define REVIEW_STANDIN_2_FAULTY_SERVER_H_

#include <random>

#include "clients.h"

namespace review {

// A server whose answers may be followed by additional bytes. They arrive at
// the point where the next response on the connection is expected.
class FaultyServer {
 public:
  FaultyServer(Machine machine,
               std::string id,
               int slots,
               Record& record,
               RunLedger& ledger)
      : server_(machine, std::move(id), slots, record),
        machine_(std::move(machine)),
        record_(record),
        ledger_(ledger) {}

  // While `has_fault` holds, `share` of the answers are followed by `bytes`.
  void SetFault(std::string bytes,
                double share,
                const std::atomic<bool>& has_fault) {
    bytes_ = std::move(bytes);
    share_ = share;
    has_fault_ = &has_fault;
  }

  void Start(Ms work) {
    work_ = work;
    Serve(machine_.app, [this](Stream& stream) { Handle(stream); });
    std::thread([this] {
      for (int sequence = 1;; ++sequence) {
        server_.Beat(sequence, "ready");
        std::this_thread::sleep_for(Ms(1500));
      }
    }).detach();
  }

 private:
  void Handle(Stream& stream) {
    std::mt19937 random(std::random_device{}());
    std::bernoulli_distribution draw(share_);
    bool has_more = false;
    for (;;) {
      const Message request = stream.Read();
      if (!request.is_whole)
        return;
      if (request.target() == "/healthz") {
        stream.Write(Answer(200, server_.LoadHeaders(), ""));
        continue;
      }
      const std::string id = request.Header("Request-Id");
      if (request.Header("Expected-Instance") != server_.id()) {
        stream.Write(Answer(421,
                            "Not-Executed: 1\r\nRequest-Id: " + id + "\r\n" +
                                server_.LoadHeaders(),
                            ""));
        continue;
      }
      record_.Line("server " + server_.id() + " runs " + id);
      ledger_.Add(id);
      if (std::exchange(has_more, false)) {
        record_.Line("server " + server_.id() +
                     " sends additional bytes that belong to no request");
        stream.Write(bytes_);
      }
      std::this_thread::sleep_for(work_);
      stream.Write(server_.Success(request, "done"));
      has_more = has_fault_ && *has_fault_ && draw(random);
    }
  }

  Server server_;
  Machine machine_;
  Record& record_;
  RunLedger& ledger_;
  Ms work_{0};
  std::string bytes_;
  double share_ = 0;
  const std::atomic<bool>* has_fault_ = nullptr;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_FAULTY_SERVER_H_
