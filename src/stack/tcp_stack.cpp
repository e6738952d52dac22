//===- tcp_stack.cpp - tcp_stack and stack_flow on top of lwIP --*- C++ -*-===//
///
/// \file
/// The only file that includes lwIP's headers, because they conflict with the
/// system's socket headers.
///
/// Debian builds lwIP to run on a separate thread (NO_SYS 0). Here it runs on
/// the caller's thread: the timer service calls tcp_tmr() every
/// TCP_TMR_INTERVAL, and lwIP's own timeouts are never checked.
///
//===----------------------------------------------------------------------===//

#include "marjoramrail/stack.h"

#include <algorithm>
#include <lwip/init.h>
#include <lwip/ip.h>
#include <lwip/netif.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcp.h>
#include <unordered_set>
#include <vector>

namespace marjoramrail {

namespace internal {

/// State shared by a stack_flow, lwIP's callbacks and a running hook. Reference
/// counting keeps it alive until none of them uses it.
struct stack_connection
    : public std::enable_shared_from_this<stack_connection> {
  tcp_pcb *Pcb = nullptr;
  flow_key Key;
  stack_flow::hooks Hooks;
  /// Number of bytes that were received but not yet consumed.
  std::size_t Unconsumed = 0;
  /// Number of nested hook calls. An abort from within a hook is delayed until
  /// the hook has returned, because lwIP still uses the connection.
  int HookDepth = 0;
  bool AbortPending = false;
  bool RemoteEnded = false;
  bool LocalEnded = false;

  void attach(tcp_pcb *Connection);
  void detach();
  void abort();
  void close();
  void finishWriting();
  void closeIfBothEnded();

  template <typename Hook, typename... Args>
  err_t callHook(Hook Member, Args... Arguments);

  static err_t onReceive(void *User, tcp_pcb *Pcb, pbuf *Bytes, err_t Error);
  static err_t onSent(void *User, tcp_pcb *Pcb, u16_t Size);
  static err_t onConnected(void *User, tcp_pcb *Pcb, err_t Error);
  static void onError(void *User, err_t Error);
};

} // namespace internal

using internal::stack_connection;

namespace {

ip_addr_t toLwip(std::uint32_t Address) {
  ip_addr_t Result;
  ip_addr_set_ip4_u32_val(Result, lwip_htonl(Address));
  return Result;
}

endpoint localOf(const tcp_pcb &Pcb) {
  return {lwip_ntohl(ip_addr_get_ip4_u32(&Pcb.local_ip)), Pcb.local_port};
}

endpoint remoteOf(const tcp_pcb &Pcb) {
  return {lwip_ntohl(ip_addr_get_ip4_u32(&Pcb.remote_ip)), Pcb.remote_port};
}

flow_end endOf(err_t Error) {
  if (Error == ERR_RST)
    return flow_end::Reset;
  return Error == ERR_CLSD ? flow_end::Finished : flow_end::TimedOut;
}

/// An lwIP interface has only one address. A packet sent to the interface's own
/// address is looped back through lwIP's thread, which does not run here.
/// Therefore the interface has the destination address of a packet only while
/// that packet is processed, and this unused address while hooks run and at all
/// other times.
constexpr std::uint32_t NoAddress = 1;

netif Interface;
tcp_stack::output_hook *CurrentOutput = nullptr;

void setInterfaceAddress(std::uint32_t Address) {
  Interface.ip_addr = toLwip(Address);
}

err_t sendPacket(netif *, pbuf *Packet, const ip4_addr_t *) {
  const auto Send = [](const void *Bytes, std::size_t Size) {
    (*CurrentOutput)({static_cast<const std::uint8_t *>(Bytes), Size});
  };
  if (Packet->len == Packet->tot_len) {
    Send(Packet->payload, Packet->len);
    return ERR_OK;
  }
  std::vector<std::uint8_t> Contiguous(Packet->tot_len);
  pbuf_copy_partial(Packet, Contiguous.data(), Packet->tot_len, 0);
  Send(Contiguous.data(), Contiguous.size());
  return ERR_OK;
}

err_t setUpInterface(netif *Netif) {
  Netif->output = sendPacket;
  Netif->name[0] = 'm';
  Netif->name[1] = 'r';
  return ERR_OK;
}

/// Header fields of a valid TCP packet.
struct packet_header {
  flow_key Flow;
  std::uint32_t Sequence = 0;
  bool OpensFlow = false;
};

std::uint32_t bigEndian(const std::uint8_t *Bytes, int Count) {
  std::uint32_t Value = 0;
  for (int Index = 0; Index < Count; ++Index)
    Value = Value << 8 | Bytes[Index];
  return Value;
}

std::optional<packet_header> parseHeader(std::span<const std::uint8_t> Packet) {
  constexpr std::size_t MinIp = 20;
  constexpr std::size_t MinTcp = 20;
  constexpr std::uint32_t FragmentBits = 0x3fff;
  constexpr std::uint8_t SynAckBits = 0x12;
  constexpr std::uint8_t SynBit = 0x02;
  if (Packet.size() < MinIp + MinTcp || Packet[0] >> 4 != 4)
    return std::nullopt;
  const std::size_t Header = (Packet[0] & 0xf) * std::size_t{4};
  const std::size_t Total = bigEndian(&Packet[2], 2);
  const bool Fits =
      Header >= MinIp && Header + MinTcp <= Total && Total <= Packet.size();
  if (!Fits || Packet[9] != IP_PROTO_TCP)
    return std::nullopt;
  if ((bigEndian(&Packet[6], 2) & FragmentBits) != 0)
    return std::nullopt;
  packet_header Parsed;
  const std::uint8_t *Tcp = &Packet[Header];
  Parsed.Flow.Caller = {bigEndian(&Packet[12], 4),
                        static_cast<std::uint16_t>(bigEndian(Tcp, 2))};
  Parsed.Flow.Service = {bigEndian(&Packet[16], 4),
                         static_cast<std::uint16_t>(bigEndian(Tcp + 2, 2))};
  Parsed.Sequence = bigEndian(Tcp + 4, 4);
  Parsed.OpensFlow = (Tcp[13] & SynAckBits) == SynBit;
  return Parsed;
}

tcp_pcb *findIn(tcp_pcb *List, const flow_key &Flow) {
  for (tcp_pcb *Pcb = List; Pcb; Pcb = Pcb->next)
    if (remoteOf(*Pcb) == Flow.Caller && localOf(*Pcb) == Flow.Service)
      return Pcb;
  return nullptr;
}

std::size_t lengthOf(const tcp_pcb *List) {
  std::size_t Count = 0;
  for (; List; List = List->next)
    ++Count;
  return Count;
}

/// Frees the connection in TIME_WAIT whose port the caller uses again. A caller
/// may do so immediately (RFC 9293, 3.6.1), but lwIP would answer its SYN from
/// the old connection and the caller would wait for minutes.
void freeReusedPort(const packet_header &Parsed) {
  tcp_pcb *Old = findIn(tcp_tw_pcbs, Parsed.Flow);
  if (Old && static_cast<std::int32_t>(Parsed.Sequence - Old->rcv_nxt) > 0)
    tcp_abort(Old);
}

void freeOldestTimeWait(std::size_t MaxKept) {
  // The newest connections are at the head of the list.
  std::size_t Count = 0;
  for (tcp_pcb *Pcb = tcp_tw_pcbs; Pcb;) {
    tcp_pcb *Next = Pcb->next;
    if (++Count > MaxKept)
      tcp_abort(Pcb);
    Pcb = Next;
  }
}

/// Sets the start value of the initial sequence numbers. lwIP computes each one
/// by adding its tick count to the previous one. The tick count is set once to
/// the seed and then to a step larger than a receive window, so that a flow
/// from a reused port gets a number beyond those of the previous flow.
void seedSequenceNumbers(std::uint32_t Seed) {
  constexpr std::uint32_t Step = 100'003;
  tcp_pcb *Any = tcp_new();
  tcp_ticks = Seed;
  tcp_next_iss(Any);
  tcp_ticks = Step;
  tcp_abort(Any);
}

} // namespace

void stack_connection::attach(tcp_pcb *Connection) {
  Pcb = Connection;
  tcp_arg(Pcb, this);
  tcp_recv(Pcb, onReceive);
  tcp_sent(Pcb, onSent);
  tcp_err(Pcb, onError);
  tcp_nagle_disable(Pcb);
}

void stack_connection::detach() {
  tcp_arg(Pcb, nullptr);
  tcp_recv(Pcb, nullptr);
  tcp_sent(Pcb, nullptr);
  tcp_err(Pcb, nullptr);
  Pcb = nullptr;
}

void stack_connection::abort() {
  if (!Pcb)
    return;
  if (HookDepth > 0) {
    AbortPending = true;
    return;
  }
  tcp_pcb *Ended = Pcb;
  detach();
  tcp_abort(Ended);
}

void stack_connection::close() {
  if (!Pcb || AbortPending)
    return;
  // If received data is unconsumed, lwIP closes with a reset, which would also
  // discard sent bytes that the peer has not read yet.
  tcp_recved(Pcb, static_cast<u16_t>(Unconsumed));
  Unconsumed = 0;
  tcp_pcb *Ended = Pcb;
  detach();
  tcp_close(Ended);
}

/// Calls a hook from an lwIP callback. Returns ERR_ABRT if the hook aborted or
/// destroyed the flow.
template <typename Hook, typename... Args>
err_t stack_connection::callHook(Hook Member, Args... Arguments) {
  const auto Self = shared_from_this();
  setInterfaceAddress(NoAddress);
  ++HookDepth;
  if (Hooks.*Member)
    (Hooks.*Member)(Arguments...);
  --HookDepth;
  if (!AbortPending || HookDepth > 0 || !Pcb)
    return ERR_OK;
  abort();
  return ERR_ABRT;
}

void stack_connection::finishWriting() {
  if (!Pcb || LocalEnded)
    return;
  LocalEnded = true;
  tcp_shutdown(Pcb, 0, 1);
}

void stack_connection::closeIfBothEnded() {
  if (!Pcb || !LocalEnded || !RemoteEnded)
    return;
  close();
  callHook(&stack_flow::hooks::OnClosed, flow_end::Finished);
}

err_t stack_connection::onReceive(void *User, tcp_pcb *, pbuf *Bytes, err_t) {
  const auto Self = static_cast<stack_connection *>(User)->shared_from_this();
  if (!Bytes) {
    Self->RemoteEnded = true;
    const err_t Result = Self->callHook(&stack_flow::hooks::OnEnd);
    if (Result == ERR_OK)
      Self->closeIfBothEnded();
    return Result;
  }
  err_t Result = ERR_OK;
  for (pbuf *Part = Bytes; Part && Result == ERR_OK; Part = Part->next) {
    if (!Self->Pcb)
      break;
    Self->Unconsumed += Part->len;
    if (!Self->Hooks.OnData)
      tcp_recved(Self->Pcb, Part->len);
    const std::string_view View(static_cast<const char *>(Part->payload),
                                Part->len);
    Result = Self->callHook(&stack_flow::hooks::OnData, View);
  }
  pbuf_free(Bytes);
  return Result;
}

err_t stack_connection::onSent(void *User, tcp_pcb *, u16_t) {
  const auto Self = static_cast<stack_connection *>(User)->shared_from_this();
  if (Self->LocalEnded)
    return ERR_OK;
  return Self->callHook(&stack_flow::hooks::OnWritable);
}

err_t stack_connection::onConnected(void *User, tcp_pcb *, err_t) {
  return static_cast<stack_connection *>(User)->callHook(
      &stack_flow::hooks::OnConnected);
}

void stack_connection::onError(void *User, err_t Error) {
  const auto Self = static_cast<stack_connection *>(User)->shared_from_this();
  // lwIP has already freed the connection.
  Self->Pcb = nullptr;
  Self->callHook(&stack_flow::hooks::OnClosed, endOf(Error));
}

stack_flow::stack_flow(std::shared_ptr<stack_connection> State)
    : State(std::move(State)) {}

stack_flow::~stack_flow() {
  State->abort();
  // Objects that the hooks capture may no longer exist, so no hook may be
  // called any more. While a hook runs, its own captures must stay valid until
  // it returns.
  if (State->HookDepth == 0)
    State->Hooks = {};
}

void stack_flow::setHooks(hooks Hooks) { State->Hooks = std::move(Hooks); }

const flow_key &stack_flow::key() const { return State->Key; }

std::size_t stack_flow::writable() const {
  constexpr u16_t QueueReserve = 8;
  const tcp_pcb *Pcb = State->Pcb;
  if (!Pcb || State->LocalEnded || State->AbortPending ||
      Pcb->snd_queuelen + QueueReserve > TCP_SND_QUEUELEN)
    return 0;
  return tcp_sndbuf(Pcb);
}

std::size_t stack_flow::write(std::string_view Bytes) {
  constexpr std::size_t Largest = 0xffff;
  const std::size_t Size = std::min({Bytes.size(), writable(), Largest});
  if (Size == 0)
    return 0;
  const err_t Error = tcp_write(State->Pcb, Bytes.data(),
                                static_cast<u16_t>(Size), TCP_WRITE_FLAG_COPY);
  if (Error != ERR_OK)
    return 0;
  tcp_output(State->Pcb);
  return Size;
}

void stack_flow::consumed(std::size_t Bytes) {
  Bytes = std::min(Bytes, State->Unconsumed);
  State->Unconsumed -= Bytes;
  if (State->Pcb && !State->AbortPending)
    tcp_recved(State->Pcb, static_cast<u16_t>(Bytes));
}

void stack_flow::finishWriting() {
  const auto Self = State;
  Self->finishWriting();
  Self->closeIfBothEnded();
}

void stack_flow::close() { State->close(); }

void stack_flow::abort() { State->abort(); }

void stack_flow::keepAlive(duration Idle, duration Interval, unsigned Probes) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  tcp_pcb *Pcb = State->Pcb;
  if (!Pcb)
    return;
  ip_set_option(Pcb, SOF_KEEPALIVE);
  Pcb->keep_idle =
      static_cast<u32_t>(duration_cast<milliseconds>(Idle).count());
  Pcb->keep_intvl =
      static_cast<u32_t>(duration_cast<milliseconds>(Interval).count());
  Pcb->keep_cnt = Probes;
}

struct tcp_stack::impl {
  struct listener {
    impl *Stack = nullptr;
    tcp_pcb *Pcb = nullptr;
    accept_hook OnAccept;
  };

  timer_service &Timers;
  tcp_stack_settings Settings;
  output_hook Output;
  timer_id Timer{};
  std::unordered_set<std::uint32_t> Addresses;
  std::vector<std::unique_ptr<listener>> Listeners;

  impl(timer_service &Timers, const tcp_stack_settings &Settings,
       output_hook Output)
      : Timers(Timers), Settings(Settings), Output(std::move(Output)) {}

  void start();
  void tick();
  static err_t onAccept(void *User, tcp_pcb *Pcb, err_t Error);
};

void tcp_stack::impl::start() {
  static bool Started = false;
  if (!Started) {
    lwip_init();
    netif_add_noaddr(&Interface, nullptr, setUpInterface, ip4_input);
    netif_set_default(&Interface);
    netif_set_up(&Interface);
    netif_set_link_up(&Interface);
    IP4_ADDR(ip_2_ip4(&Interface.netmask), 255, 255, 255, 255);
    Started = true;
  }
  Interface.mtu = Settings.Mtu;
  setInterfaceAddress(NoAddress);
  CurrentOutput = &Output;
  seedSequenceNumbers(Settings.Seed);
  Timer = Timers.every(std::chrono::milliseconds(TCP_TMR_INTERVAL),
                       [this] { tick(); });
}

void tcp_stack::impl::tick() {
  tcp_tmr();
  freeOldestTimeWait(Settings.MaxTimeWait);
}

err_t tcp_stack::impl::onAccept(void *User, tcp_pcb *Pcb, err_t Error) {
  if (Error != ERR_OK || !Pcb)
    return ERR_VAL;
  setInterfaceAddress(NoAddress);
  auto State = std::make_shared<stack_connection>();
  State->Key = {remoteOf(*Pcb), localOf(*Pcb)};
  State->attach(Pcb);
  ++State->HookDepth;
  static_cast<listener *>(User)->OnAccept(std::make_unique<stack_flow>(State));
  --State->HookDepth;
  if (!State->AbortPending)
    return ERR_OK;
  State->abort();
  return ERR_ABRT;
}

tcp_stack::tcp_stack(timer_service &Timers, const tcp_stack_settings &Settings,
                     output_hook Output)
    : Impl(std::make_unique<impl>(Timers, Settings, std::move(Output))) {
  Impl->start();
}

tcp_stack::~tcp_stack() {
  Impl->Timers.cancel(Impl->Timer);
  for (const auto &Listener : Impl->Listeners)
    tcp_close(Listener->Pcb);
  while (tcp_active_pcbs)
    tcp_abandon(tcp_active_pcbs, 0);
  freeOldestTimeWait(0);
  CurrentOutput = nullptr;
}

void tcp_stack::addAddress(std::uint32_t Address) {
  Impl->Addresses.insert(Address);
}

result<void> tcp_stack::listen(const endpoint &Local, accept_hook OnAccept) {
  tcp_pcb *Pcb = tcp_new();
  const ip_addr_t Address = toLwip(Local.Address);
  if (tcp_bind(Pcb, &Address, Local.Port) != ERR_OK) {
    tcp_abort(Pcb);
    return fail(step::OpenSocket, toText(Local), "address in use");
  }
  auto Listener = std::make_unique<impl::listener>();
  Listener->Stack = Impl.get();
  Listener->Pcb = tcp_listen(Pcb);
  Listener->OnAccept = std::move(OnAccept);
  tcp_arg(Listener->Pcb, Listener.get());
  tcp_accept(Listener->Pcb, impl::onAccept);
  Impl->Listeners.push_back(std::move(Listener));
  return {};
}

result<std::unique_ptr<stack_flow>>
tcp_stack::connect(const endpoint &Local, const endpoint &Remote,
                   stack_flow::hooks Hooks) {
  tcp_pcb *Pcb = tcp_new();
  ip_set_option(Pcb, SOF_REUSEADDR);
  const ip_addr_t From = toLwip(Local.Address);
  const ip_addr_t To = toLwip(Remote.Address);
  auto State = std::make_shared<stack_connection>();
  State->Key = {Local, Remote};
  State->Hooks = std::move(Hooks);
  err_t Error = tcp_bind(Pcb, &From, Local.Port);
  if (Error == ERR_OK) {
    State->Key.Caller.Port = Pcb->local_port;
    State->attach(Pcb);
    Error = tcp_connect(Pcb, &To, Remote.Port, stack_connection::onConnected);
  }
  if (Error != ERR_OK) {
    tcp_err(Pcb, nullptr);
    tcp_abandon(Pcb, 0);
    return fail(step::Connect, toText(Remote),
                "no free pair of endpoints from " + toText(Local));
  }
  return std::make_unique<stack_flow>(State);
}

bool tcp_stack::input(std::span<const std::uint8_t> Packet) {
  const auto Parsed = parseHeader(Packet);
  if (!Parsed || !Impl->Addresses.contains(Parsed->Flow.Service.Address))
    return false;
  if (Parsed->OpensFlow)
    freeReusedPort(*Parsed);
  const auto Size = static_cast<u16_t>(Packet.size());
  pbuf *Buffer = pbuf_alloc(PBUF_RAW, Size, PBUF_RAM);
  if (!Buffer)
    return false;
  pbuf_take(Buffer, Packet.data(), Size);
  setInterfaceAddress(Parsed->Flow.Service.Address);
  ip4_input(Buffer, &Interface);
  setInterfaceAddress(NoAddress);
  return true;
}

void tcp_stack::forget(const flow_key &Flow) {
  tcp_pcb *Pcb = findIn(tcp_active_pcbs, Flow);
  if (!Pcb)
    return;
  auto *State = static_cast<stack_connection *>(Pcb->callback_arg);
  const bool Accepted = Pcb->state != SYN_RCVD && State;
  std::shared_ptr<stack_connection> Connection;
  if (Accepted) {
    Connection = State->shared_from_this();
    Connection->detach();
  }
  tcp_err(Pcb, nullptr);
  tcp_abandon(Pcb, 0);
  if (Accepted)
    Connection->callHook(&stack_flow::hooks::OnClosed, flow_end::Reset);
}

std::size_t tcp_stack::connections() const {
  return lengthOf(tcp_active_pcbs) + lengthOf(tcp_tw_pcbs);
}

} // namespace marjoramrail
