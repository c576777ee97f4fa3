// A TCP connection on which a test writes and reads bytes as it likes.
#ifndef SUPPORT_RAW_SOCKET_H_
#define SUPPORT_RAW_SOCKET_H_

#include <atomic>
#include <string>
#include <string_view>

#include "base/socket_address.h"

namespace chestnutport::test {

// Blocking; a read or write that takes longer than ten seconds ends as if the
// connection were closed.
class RawSocket {
 public:
  explicit RawSocket(int fd);
  explicit RawSocket(const base::SocketAddress& to);
  RawSocket(RawSocket&& other) noexcept;
  ~RawSocket();

  // False if the other end has closed.
  bool Send(std::string_view bytes);
  // Reads through the first `mark`, or until the other end closes.
  std::string ReadUntil(std::string_view delimiter);
  // Reads a head and as much body as its Content-Length says.
  std::string ReadMessage();
  std::string ReadToEnd();
  // Reads at most `size` bytes; empty once the other end has closed.
  std::string ReadSome(size_t size);

  void CloseWriting() const;
  // Closes with a reset in place of an orderly end.
  void Reset();
  void Close();
  // From now on the kernel drops all that arrives, as on a connection that
  // something in between has lost track of.
  void GoSilent() const;
  int fd() const { return fd_; }

 private:
  bool ReadMore();

  std::atomic<int> fd_;  // Also read by who wants to end the connection.
  std::string buffer_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_RAW_SOCKET_H_
