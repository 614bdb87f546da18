#pragma once

#include <memory>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>

#include "platform/soak/promise_ledger.h"

namespace figspoke::soak {

/// Parts of the requests that an engine handles badly.
struct engine_manners {
    double refuses = 0.03;
    double fails = 0.03;
    /// The connection is reset before the request ran, and after it.
    double resets_before = 0.01;
    double resets_after = 0.01;
    /// The answer, or an event of the stream, ends half-way.
    double truncates = 0.02;
    /// Bytes of no request follow a complete answer.
    double sends_more = 0.01;
    /// The connection is closed without notice after the answer, while it seems to be kept.
    double drops_idle = 0.05;
    /// The last refusal on the connection is sent once more before the next answer.
    double repeats_refusal = 0.3;
    /// The continuation of a stream is answered with an error.
    double fails_continuation = 0.1;
    /// The head of the answer is none of HTTP, or the connection ends within or right after it.
    double breaks_head = 0.02;
    /// Of the streams that end half-way: the chunks end in order after a part of an event.
    double ends_cut_in_order = 0.5;
};

/// Bodies that begin so get a stream that lasts for up to three seconds.
inline constexpr const char* long_stream = "long ";

/// Number of events of the stream that an engine makes for a body.
std::uint64_t stream_length(const std::string& body);

/// An engine on loopback that notes each request it runs. Lives on the thread of its context.
class soak_engine {
  public:
    soak_engine(boost::asio::io_context& context, std::string id, promise_ledger& ledger, unsigned seed);
    ~soak_engine();
    soak_engine(const soak_engine&) = delete;
    soak_engine& operator=(const soak_engine&) = delete;

    std::string address() const;
    void set_manners(const engine_manners& manners);

    /// Ends all connections with a reset and accepts no more.
    void crash();

    struct impl;

  private:
    std::shared_ptr<impl> impl_;
};

} // namespace figspoke::soak
