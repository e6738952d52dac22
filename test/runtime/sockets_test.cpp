#include "marjoramrail/runtime.h"

#include <doctest/doctest.h>

#include <thread>

using namespace marjoramrail;
using std::chrono::seconds;

static const endpoint AnyPort{0x7f000001, 0};

TEST_CASE("udp_socket delivers a datagram to the socket it was sent to") {
  event_loop Loop;
  std::string Received;
  udp_socket Receiver(Loop, [&](std::span<const datagram> Batch) {
    Received.assign(Batch[0].Bytes.begin(), Batch[0].Bytes.end());
    Loop.stop();
  });
  udp_socket Sender(Loop, [](std::span<const datagram>) {});
  REQUIRE(Receiver.open(AnyPort));
  REQUIRE(Sender.open(AnyPort));
  Loop.timers().after(seconds(10), [&] { Loop.stop(); });

  const std::string Text = "packet";
  Sender.send(Receiver.local(),
              {reinterpret_cast<const std::uint8_t *>(Text.data()), 6});
  Loop.run();

  CHECK(Received == Text);
}

TEST_CASE("udp_socket reports the address that it cannot bind to") {
  event_loop Loop;
  udp_socket First(Loop, [](std::span<const datagram>) {});
  udp_socket Second(Loop, [](std::span<const datagram>) {});
  REQUIRE(First.open(AnyPort));

  const auto Failure = failureOf([&] { return Second.open(First.local()); });

  REQUIRE(Failure);
  CHECK(Failure->Peer == toText(First.local()));
}

TEST_CASE("tcp_stream transfers bytes and reports the end to both sides") {
  event_loop Loop;
  std::unique_ptr<tcp_stream> Accepted;
  std::string Received;
  bool ServerClosed = false;
  tcp_listener Listener(Loop, [&](std::unique_ptr<tcp_stream> Stream) {
    Accepted = std::move(Stream);
    tcp_stream::hooks Hooks;
    Hooks.OnData = [&](std::string_view Bytes) { Received += Bytes; };
    Hooks.OnClosed = [&](const std::string &) {
      ServerClosed = true;
      Loop.stop();
    };
    Accepted->setHooks(std::move(Hooks));
  });
  REQUIRE(Listener.open(AnyPort));
  Loop.timers().after(seconds(10), [&] { Loop.stop(); });
  std::unique_ptr<tcp_stream> Client;
  tcp_stream::hooks Hooks;
  Hooks.OnConnected = [&] {
    Client->write("request");
    Client->closeAfterWrites();
  };
  Hooks.OnClosed = [&](const std::string &) {
    Loop.defer([&] { Client.reset(); });
  };
  Client = tcp_stream::connect(Loop, Listener.local(), std::move(Hooks));

  Loop.run();

  CHECK(Received == "request");
  CHECK(ServerClosed);
}

TEST_CASE("tcp_stream connects from the given local address") {
  // An agent accepts relayed requests only from the addresses of its peers. If
  // the kernel chose another address of the VM, the relayed request would be
  // rejected, and the caller would get an answer that the outcome is unknown.
  event_loop Loop;
  endpoint Seen;
  std::unique_ptr<tcp_stream> Accepted;
  tcp_listener Listener(Loop, [&](std::unique_ptr<tcp_stream> Stream) {
    Accepted = std::move(Stream);
    Seen = Accepted->peer();
    Loop.stop();
  });
  REQUIRE(Listener.open({0x7f010203, 0}));
  Loop.timers().after(seconds(10), [&] { Loop.stop(); });

  const auto Client =
      tcp_stream::connectFrom(Loop, {0x7f040506, 0}, Listener.local(), {});
  Loop.run();

  CHECK(Seen.Address == 0x7f040506);
}

TEST_CASE("the timers' clock is current in a receive hook") {
  // A loop without timers sleeps until a packet arrives. If the clock still
  // showed the time before the sleep, a deadline set in the hook would expire
  // too early, and callers would be refused without cause.
  event_loop Loop;
  instant Seen;
  udp_socket Receiver(Loop, [&](std::span<const datagram>) {
    Seen = Loop.timers().now();
    Loop.stop();
  });
  REQUIRE(Receiver.open(AnyPort));
  const endpoint To = Receiver.local();
  instant Sent;

  std::thread Elsewhere([&] {
    event_loop Other;
    udp_socket Sender(Other, [](std::span<const datagram>) {});
    CHECK(Sender.open(AnyPort));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Other.updateClock();
    Sent = Other.timers().now();
    const std::uint8_t Byte = 1;
    Sender.send(To, {&Byte, 1});
    Sender.flush();
  });
  Loop.run();
  Elsewhere.join();

  CHECK(Seen >= Sent);
}
