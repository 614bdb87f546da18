#include "platform/soak/soak_caller.h"

#include <algorithm>
#include <array>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "adapters/await.h"
#include "adapters/endpoint.h"
#include "adapters/http_client.h"
#include "core/answer_status.h"
#include "platform/soak/soak_engine.h"

namespace figspoke::soak {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using clock = std::chrono::steady_clock;

constexpr core::milliseconds lookup_timeout{500};
constexpr core::milliseconds connect_timeout{1000};
constexpr core::milliseconds least_deadline{800};
constexpr core::milliseconds deadline_spread{2500};
// Streams that outlast the time in which a stopping node accepts requests, and their deadline.
constexpr std::uint64_t long_stream_every = 12;
constexpr core::milliseconds long_deadline{6000};
constexpr core::milliseconds pause_between{40};
constexpr core::milliseconds pause_without_node{150};
constexpr core::milliseconds pause_without_access{300};
// Answers may arrive this much after the deadline that the caller named.
constexpr core::milliseconds deadline_slack{300};
// Part of the requests whose caller leaves early, and after which time.
constexpr double leaves_early = 0.03;
constexpr core::milliseconds early{60};

struct request_plan {
    std::string id;
    std::string path;
    std::string body;
    std::string key;
    request_kind kind = request_kind::repeatable;
    core::milliseconds deadline{0};
    bool leaves = false;
};

struct received {
    int status = 0;
    std::string signature;
    std::string body;
    bool complete = false;
    bool keep_open = false;
    bool timed_out = false;
};

class caller {
  public:
    caller(caller_world& world, const boost::asio::yield_context& yield)
        : world_(world), yield_(yield), client_(world.context) {}

    void run() {
        while (!world_.stopping) {
            if (!stream_ && !connect()) {
                adapters::sleep_for(pause_without_node, yield_);
                continue;
            }
            adapters::sleep_for(exchange(plan_request()) ? pause_between : pause_without_access, yield_);
        }
    }

  private:
    std::size_t draw(std::size_t below) { return world_.random() % std::max<std::size_t>(below, 1); }

    std::string look_up() {
        adapters::http_call call;
        call.address = world_.directories.at(draw(world_.directories.size()));
        call.target = "/lookup?name=h&region=r&zone=z";
        call.timeout = lookup_timeout;
        const auto answer = client_.fetch(call, yield_);
        if (!answer || answer->status != 200) {
            return {};
        }
        const auto addresses =
            nlohmann::json::parse(answer->body).value("addresses", std::vector<std::string>());
        return addresses.empty() ? std::string() : addresses.at(draw(addresses.size()));
    }

    bool connect() {
        const auto endpoint = adapters::parse_endpoint(look_up());
        if (!endpoint) {
            return false;
        }
        stream_.emplace(world_.context);
        beast::error_code code;
        stream_->expires_after(connect_timeout);
        stream_->async_connect(*endpoint, yield_[code]);
        if (code) {
            stream_.reset();
        }
        return !code;
    }

    request_plan plan_request() {
        static constexpr std::array paths{"/order/", "/look/", "/chat/", "/once/"};
        request_plan plan;
        plan.id = "s" + std::to_string(world_.next_id++);
        plan.path = paths.at(draw(paths.size()));
        plan.body = "content " + std::to_string(draw(1000));
        if (world_.next_id % long_stream_every == 0) {
            plan.path = "/once/";
            plan.body = long_stream + plan.body;
        }
        plan.key = world_.keys.at(draw(world_.keys.size()));
        plan.deadline = least_deadline + core::milliseconds(draw(std::size_t(deadline_spread.count())));
        if (plan.body.find(long_stream) == 0) {
            plan.deadline = long_deadline;
        }
        plan.leaves = !world_.calm && double(draw(1000)) < leaves_early * 1000;
        if (plan.path == "/look/") {
            plan.kind = request_kind::repeatable;
        } else {
            plan.kind = plan.path == "/chat/" ? request_kind::stream : request_kind::at_most_once;
        }
        return plan;
    }

    // Returns whether the caller's key was accepted.
    bool exchange(const request_plan& plan) {
        const bool calm = world_.calm;
        const auto sent_at = clock::now();
        world_.ledger.sent[plan.id] = {plan.kind, plan.key, sent_at, plan.deadline};
        const auto answer = send(plan);
        judge(plan, answer, sent_at, calm);
        if (!answer.keep_open) {
            stream_.reset();
        }
        return answer.status != 401;
    }

    received send(const request_plan& plan) {
        http::request<http::string_body> request(http::verb::post, plan.path + "x", 11);
        request.set(http::field::host, "h");
        request.set("X-Request-Id", plan.id);
        request.set("X-Deadline-Ms", std::to_string(plan.deadline.count()));
        request.set("Api-Key", plan.key);
        request.body() = plan.body;
        request.prepare_payload();
        received answer;
        beast::error_code code;
        stream_->expires_after(plan.leaves ? early : plan.deadline + deadline_slack);
        http::async_write(*stream_, request, yield_[code]);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        if (!code) {
            http::async_read(*stream_, buffer, parser, yield_[code]);
        }
        answer.timed_out = code == beast::error::timeout;
        if (parser.is_header_done()) {
            const auto& message = parser.get();
            answer.status = int(message.result_int());
            answer.signature = std::string(message["X-Server-Signature"]);
            answer.body = message.body();
            answer.complete = !code;
            answer.keep_open = !code && message.keep_alive();
            if (message["X-Request-Id"] != plan.id && !answer.signature.empty()) {
                violate(plan, "got the answer of request " + std::string(message["X-Request-Id"]));
            }
            if (core::kind_of_status(answer.status) != core::answer_kind::final_answer) {
                violate(plan, "got the status " + std::to_string(answer.status));
            }
            if (answer.complete && buffer.size() > 0) {
                violate(plan, "got bytes after its answer");
            }
        }
        return answer;
    }

    void violate(const request_plan& plan, const std::string& what) {
        world_.ledger.violations.push_back("request " + plan.id + " to " + plan.path + ' ' + what);
    }

    void judge(const request_plan& plan, const received& answer, core::steady_time sent_at, bool calm) {
        const bool own = answer.signature.empty();
        if (answer.complete && own && promises_not_run(answer.status)) {
            world_.ledger.promised_not_run[plan.id] = answer.status;
        }
        if (!answer.complete && !answer.timed_out) {
            world_.ledger.cut_off[plan.id] = {sent_at, clock::now()};
        }
        const bool streamed = plan.path == "/chat/" || plan.path == "/once/";
        if (answer.complete && answer.status == 200) {
            check_success(plan, answer, streamed);
        } else if (streamed && answer.status == 200) {
            check_part(plan, answer);
        }
        const bool revoked = world_.ledger.revoked_keys.count(plan.key) > 0;
        const bool expected = revoked ? answer.status == 401 : answer.complete && answer.status == 200;
        if (calm && !expected) {
            violate(plan, "got status " + std::to_string(answer.status) + " without a fault");
        }
        ++world_.outcomes[outcome_of(answer, plan)];
    }

    void check_success(const request_plan& plan, const received& answer, bool streamed) {
        if (answer.signature.size() <= plan.id.size() ||
            answer.signature.substr(answer.signature.size() - plan.id.size()) != plan.id) {
            violate(plan, "got a success without the engine's signature");
        } else if (streamed) {
            const auto check = check_stream(answer.body, plan.body);
            if (check.fault || !check.ended || check.events != stream_length(plan.body)) {
                violate(plan, "got a stream that looks complete: " + check.fault.value_or("no end"));
            }
        } else if (answer.body != "whole answer of " + plan.id) {
            violate(plan, "got another body: " + answer.body);
        }
    }

    void check_part(const request_plan& plan, const received& answer) {
        if (const auto check = check_stream(answer.body, plan.body); check.fault) {
            violate(plan, *check.fault);
        }
    }

    static std::string outcome_of(const received& answer, const request_plan& plan) {
        if (plan.leaves && answer.timed_out) {
            return "left";
        }
        if (answer.complete) {
            return std::to_string(answer.status) + (answer.signature.empty() ? " own" : "");
        }
        return answer.timed_out ? "late" : "cut";
    }

    caller_world& world_;
    const boost::asio::yield_context& yield_;
    adapters::http_client client_;
    std::optional<beast::tcp_stream> stream_;
};

} // namespace

void run_caller(caller_world& world, const boost::asio::yield_context& yield) {
    ++world.running;
    caller(world, yield).run();
    --world.running;
}

} // namespace figspoke::soak
