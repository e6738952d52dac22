#include "marjoramrail/runtime.h"
#include "runtime/socket_error.h"

#include <array>
#include <cstring>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marjoramrail {

using namespace internal;

namespace {

constexpr std::size_t BatchSize = 64;
constexpr std::size_t SlotBytes = 2048;
/// Batches received per event, so that other events of the loop are not
/// delayed for long.
constexpr int BatchesPerWakeup = 8;
/// With the kernel's default size, a burst of SYNs could overflow the buffer.
/// The lost SYNs are retransmitted only after a second.
constexpr int SocketBufferBytes = 8 * 1024 * 1024;

/// The buffers of one recvmmsg or sendmmsg call.
struct message_batch {
  std::array<mmsghdr, BatchSize> Headers{};
  std::array<iovec, BatchSize> Vectors{};
  std::array<sockaddr_in, BatchSize> Addresses{};
  std::vector<std::uint8_t> Storage =
      std::vector<std::uint8_t>(BatchSize * SlotBytes);

  message_batch() {
    for (std::size_t I = 0; I < BatchSize; ++I) {
      Vectors[I] = {Storage.data() + I * SlotBytes, SlotBytes};
      Headers[I].msg_hdr.msg_iov = &Vectors[I];
      Headers[I].msg_hdr.msg_iovlen = 1;
      Headers[I].msg_hdr.msg_name = &Addresses[I];
      Headers[I].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
  }

  std::uint8_t *slot(std::size_t I) { return Storage.data() + I * SlotBytes; }
};

} // namespace

struct udp_socket::impl {
  event_loop &Loop;
  receive_hook OnBatch;
  int Socket = -1;
  event *Readable = nullptr;
  message_batch In;
  message_batch Out;
  std::size_t Queued = 0;
  std::uint64_t Dropped = 0;
  bool FlushDeferred = false;
  /// False once the socket has been destroyed; checked by a deferred flush.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);

  impl(event_loop &Loop, receive_hook OnBatch)
      : Loop(Loop), OnBatch(std::move(OnBatch)) {}

  void receive();
  void flush();
};

void udp_socket::impl::receive() {
  Loop.updateClock();
  std::array<datagram, BatchSize> Batch;
  for (int Round = 0; Round < BatchesPerWakeup; ++Round) {
    for (mmsghdr &Header : In.Headers)
      Header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    const int Count =
        recvmmsg(Socket, In.Headers.data(), BatchSize, MSG_DONTWAIT, nullptr);
    if (Count <= 0)
      break;
    for (int I = 0; I < Count; ++I)
      Batch[I] = {toEndpoint(In.Addresses[I]),
                  {In.slot(I), In.Headers[I].msg_len}};
    OnBatch(std::span(Batch.data(), static_cast<std::size_t>(Count)));
    if (static_cast<std::size_t>(Count) < BatchSize)
      break;
  }
  flush();
}

void udp_socket::impl::flush() {
  std::size_t Sent = 0;
  while (Sent < Queued) {
    const int Count = sendmmsg(Socket, Out.Headers.data() + Sent,
                               static_cast<unsigned>(Queued - Sent), 0);
    if (Count <= 0) {
      // An error concerns only the first datagram: the send buffer is full, or
      // an earlier datagram was rejected with an ICMP error. The others are
      // still sent.
      ++Dropped;
      ++Sent;
      continue;
    }
    Sent += static_cast<std::size_t>(Count);
  }
  Queued = 0;
}

udp_socket::udp_socket(event_loop &Loop, receive_hook OnBatch)
    : Impl(std::make_unique<impl>(Loop, std::move(OnBatch))) {}

udp_socket::~udp_socket() {
  *Impl->Alive = false;
  if (Impl->Readable)
    event_free(Impl->Readable);
  if (Impl->Socket >= 0)
    close(Impl->Socket);
}

result<void> udp_socket::open(const endpoint &Local) {
  const int Socket =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return failWithErrno(step::OpenSocket, Local);
  Impl->Socket = Socket;
  // The kernel may limit these sizes. The socket still works, so errors are
  // ignored.
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes,
             sizeof(SocketBufferBytes));
  setsockopt(Socket, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes,
             sizeof(SocketBufferBytes));
  const sockaddr_in Address = toSockaddr(Local);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) != 0)
    return failWithErrno(step::OpenSocket, Local);
  Impl->Readable = event_new(
      Impl->Loop.base(), Socket, EV_READ | EV_PERSIST,
      [](int, short, void *User) { static_cast<impl *>(User)->receive(); },
      Impl.get());
  event_add(Impl->Readable, nullptr);
  return {};
}

endpoint udp_socket::local() const { return localOf(Impl->Socket); }

void udp_socket::send(const endpoint &To, std::span<const std::uint8_t> Bytes) {
  if (Bytes.size() > SlotBytes) {
    ++Impl->Dropped;
    return;
  }
  const std::size_t I = Impl->Queued++;
  std::memcpy(Impl->Out.slot(I), Bytes.data(), Bytes.size());
  Impl->Out.Vectors[I].iov_len = Bytes.size();
  Impl->Out.Addresses[I] = toSockaddr(To);
  if (Impl->Queued == BatchSize)
    return Impl->flush();
  if (std::exchange(Impl->FlushDeferred, true))
    return;
  Impl->Loop.defer([Impl = Impl.get(), Alive = Impl->Alive] {
    if (!*Alive)
      return;
    Impl->FlushDeferred = false;
    Impl->flush();
  });
}

void udp_socket::flush() { Impl->flush(); }

std::uint64_t udp_socket::dropped() const { return Impl->Dropped; }

} // namespace marjoramrail
