// A TCP connection on which a test reads and writes raw bytes.
#ifndef SUPPORT_RAW_SOCKET_H_
#define SUPPORT_RAW_SOCKET_H_

#include <atomic>
#include <string>
#include <string_view>

#include "base/socket_address.h"

namespace chestnutport::test {

// Blocking. A read or write that takes longer than ten seconds is treated as a
// closed connection.
class RawSocket {
 public:
  explicit RawSocket(int fd);
  explicit RawSocket(const base::SocketAddress& to);
  RawSocket(RawSocket&& other) noexcept;
  ~RawSocket();

  // Returns false if the connection is closed or the write times out.
  bool Send(std::string_view bytes);
  // Reads up to and including the first `delimiter`, or until the peer closes.
  std::string ReadUntil(std::string_view delimiter);
  // Reads an HTTP message head and a body of Content-Length bytes.
  std::string ReadMessage();
  std::string ReadToEnd();
  // Reads at most `size` bytes; returns an empty string once
  // the peer has closed.
  std::string ReadSome(size_t size);

  void CloseWriting() const;
  // Closes with a TCP reset in place of an orderly shutdown.
  void Reset();
  void Close();
  // Makes the kernel drop all incoming packets, as when a firewall between the
  // two ends has lost the state of the connection.
  void GoSilent() const;
  int fd() const { return fd_; }

 private:
  bool ReadMore();

  std::atomic<int> fd_;  // Atomic, as another thread may shut it down.
  std::string buffer_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_RAW_SOCKET_H_
