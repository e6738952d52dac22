#include "marjoramrail/runtime.h"
#include "runtime/socket_error.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marjoramrail {

using namespace internal;

struct tcp_stream::impl {
  event_loop *Loop = nullptr;
  endpoint Peer;
  hooks Hooks;
  bufferevent *Events = nullptr;
  bool Connected = false;
  bool Closing = false;
  bool Finishing = false;

  ~impl() {
    if (Events)
      bufferevent_free(Events);
  }

  void listen();
  void read();
  void drained();
  void event(short What);
};

void tcp_stream::impl::listen() {
  bufferevent_setcb(
      Events,
      [](bufferevent *, void *User) { static_cast<impl *>(User)->read(); },
      [](bufferevent *, void *User) { static_cast<impl *>(User)->drained(); },
      [](bufferevent *, short What, void *User) {
        static_cast<impl *>(User)->event(What);
      },
      this);
  bufferevent_enable(Events, EV_READ | EV_WRITE);
}

void tcp_stream::impl::read() {
  Loop->updateClock();
  evbuffer *Input = bufferevent_get_input(Events);
  const std::size_t Size = evbuffer_get_length(Input);
  const auto *Bytes =
      reinterpret_cast<const char *>(evbuffer_pullup(Input, -1));
  const std::string Copy(Bytes, Size);
  evbuffer_drain(Input, Size);
  if (Hooks.OnData)
    Hooks.OnData(Copy);
}

void tcp_stream::impl::drained() {
  Loop->updateClock();
  if (Closing)
    return event(BEV_EVENT_EOF);
  if (std::exchange(Finishing, false))
    shutdown(bufferevent_getfd(Events), SHUT_WR);
  if (Hooks.OnDrained)
    Hooks.OnDrained();
}

void tcp_stream::impl::event(short What) {
  Loop->updateClock();
  if ((What & BEV_EVENT_CONNECTED) != 0) {
    Connected = true;
    if (Hooks.OnConnected)
      Hooks.OnConnected();
    return;
  }
  bufferevent_disable(Events, EV_READ | EV_WRITE);
  // The hook is moved out first. Otherwise a hook that calls setHooks() would
  // destroy the function that is running, with its captures.
  const auto OnClosed = std::exchange(Hooks.OnClosed, nullptr);
  if (!OnClosed)
    return;
  if ((What & BEV_EVENT_ERROR) != 0)
    OnClosed(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  else
    OnClosed("");
}

tcp_stream::tcp_stream(std::unique_ptr<impl> State) : Impl(std::move(State)) {}

tcp_stream::~tcp_stream() = default;

static void sendAtOnce(bufferevent *Events) {
  // Nagle's algorithm would delay a small answer until the peer's
  // acknowledgement arrives, which may take up to 40 ms.
  const int On = 1;
  setsockopt(bufferevent_getfd(Events), IPPROTO_TCP, TCP_NODELAY, &On,
             sizeof(On));
}

/// Returns a socket bound to the address of \p Local and any port. Returns -1
/// if the address is 0 or cannot be bound; libevent then creates an unbound
/// socket.
static evutil_socket_t boundSocket(const endpoint &Local) {
  if (Local.Address == 0)
    return -1;
  const int Socket =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = toSockaddr({Local.Address, 0});
  if (Socket < 0 || bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
                         sizeof(Address)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

std::unique_ptr<tcp_stream>
tcp_stream::connect(event_loop &Loop, const endpoint &Peer, hooks Hooks) {
  return connectFrom(Loop, endpoint(), Peer, std::move(Hooks));
}

std::unique_ptr<tcp_stream> tcp_stream::connectFrom(event_loop &Loop,
                                                    const endpoint &Local,
                                                    const endpoint &Peer,
                                                    hooks Hooks) {
  auto State = std::make_unique<impl>();
  State->Loop = &Loop;
  State->Peer = Peer;
  State->Hooks = std::move(Hooks);
  State->Events =
      bufferevent_socket_new(Loop.base(), boundSocket(Local),
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  State->listen();
  sockaddr_in Address = toSockaddr(Peer);
  bufferevent_socket_connect(
      State->Events, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  sendAtOnce(State->Events);
  return std::unique_ptr<tcp_stream>(new tcp_stream(std::move(State)));
}

void tcp_stream::setHooks(hooks Hooks) { Impl->Hooks = std::move(Hooks); }

endpoint tcp_stream::peer() const { return Impl->Peer; }

void tcp_stream::write(std::string_view Bytes) {
  bufferevent_write(Impl->Events, Bytes.data(), Bytes.size());
}

std::size_t tcp_stream::queued() const {
  return evbuffer_get_length(bufferevent_get_output(Impl->Events));
}

void tcp_stream::pauseReading(bool Pause) {
  if (Pause)
    bufferevent_disable(Impl->Events, EV_READ);
  else
    bufferevent_enable(Impl->Events, EV_READ);
}

void tcp_stream::closeAfterWrites() {
  Impl->Closing = true;
  if (queued() == 0)
    bufferevent_trigger(Impl->Events, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

void tcp_stream::finishWriting() {
  Impl->Finishing = true;
  if (queued() == 0)
    bufferevent_trigger(Impl->Events, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

struct tcp_listener::impl {
  event_loop &Loop;
  accept_hook OnAccept;
  evconnlistener *Listener = nullptr;

  impl(event_loop &Loop, accept_hook OnAccept)
      : Loop(Loop), OnAccept(std::move(OnAccept)) {}
  ~impl() {
    if (Listener)
      evconnlistener_free(Listener);
  }

  static void accept(evconnlistener *, evutil_socket_t Socket,
                     sockaddr *Address, int, void *User);
};

void tcp_listener::impl::accept(evconnlistener *, evutil_socket_t Socket,
                                sockaddr *Address, int, void *User) {
  auto &Self = *static_cast<impl *>(User);
  Self.Loop.updateClock();
  auto State = std::make_unique<tcp_stream::impl>();
  State->Loop = &Self.Loop;
  State->Peer = toEndpoint(*reinterpret_cast<sockaddr_in *>(Address));
  State->Connected = true;
  State->Events =
      bufferevent_socket_new(Self.Loop.base(), Socket,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  State->listen();
  sendAtOnce(State->Events);
  Self.OnAccept(std::unique_ptr<tcp_stream>(new tcp_stream(std::move(State))));
}

tcp_listener::tcp_listener(event_loop &Loop, accept_hook OnAccept)
    : Impl(std::make_unique<impl>(Loop, std::move(OnAccept))) {}

tcp_listener::~tcp_listener() = default;

result<void> tcp_listener::open(const endpoint &Local) {
  const sockaddr_in Address = toSockaddr(Local);
  constexpr int Backlog = 4096;
  Impl->Listener = evconnlistener_new_bind(
      Impl->Loop.base(), impl::accept, Impl.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      Backlog, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  if (!Impl->Listener)
    return failWithErrno(step::OpenSocket, Local);
  return {};
}

endpoint tcp_listener::local() const {
  return localOf(evconnlistener_get_fd(Impl->Listener));
}

} // namespace marjoramrail
