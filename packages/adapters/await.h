#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace figspoke::adapters {

/// Suspends the coroutine until the callback given to `start` is called, from any thread and exactly
/// once, and returns the callback's value.
template <class T, class Start>
T await_value(const boost::asio::yield_context& yield, Start start) {
    namespace asio = boost::asio;
    return asio::async_initiate<const asio::yield_context&, void(T)>(
        [&start](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            start([shared](T value) {
                const auto executor = asio::get_associated_executor(*shared);
                asio::post(executor,
                           [shared, moved = std::move(value)]() mutable { (*shared)(std::move(moved)); });
            });
        },
        yield);
}

/// Starts a coroutine on a strand of its own, so that its timers and operations never run side by side.
template <class Function>
void spawn_coroutine(boost::asio::io_context& context, Function function) {
    boost::asio::spawn(boost::asio::make_strand(context), std::move(function), boost::asio::detached);
}

/// Suspends the coroutine for a time.
template <class Duration>
void sleep_for(Duration duration, const boost::asio::yield_context& yield) {
    if (duration <= Duration::zero()) {
        return;
    }
    boost::system::error_code code;
    boost::asio::steady_timer timer(yield.get_executor(), duration);
    timer.async_wait(yield[code]);
}

} // namespace figspoke::adapters
