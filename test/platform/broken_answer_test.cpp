#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "platform/support/kept_connection.h"
#include "platform/support/relay_cluster.h"

using namespace figspoke::test;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds deadline{2000};
constexpr milliseconds patience{4000};

const std::vector<std::string> all_paths = {"/order/", "/look/", "/once/", "/chat/"};

// The headers that a sound engine adds.
std::string engine_headers(const engine_request& request) {
    const auto& id = request.headers.at("x-request-id");
    return "X-Request-Id: " + id + "\r\nX-Server-Signature: s." + id + "\r\n";
}

// Puts these headers in the place of `ID`.
std::string with_headers(std::string bytes, const engine_request& request) {
    if (const auto id = bytes.find("ID"); id != std::string::npos) {
        bytes.replace(id, 2, engine_headers(request));
    }
    return bytes;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

bool is_success(const kept_answer& answer) {
    return answer.complete && answer.status >= 200 && answer.status < 300;
}

// A node with one engine for all routes. The engine's answer can be changed between requests.
class one_engine {
  public:
    explicit one_engine(engine_start start = engine_start::whole_request)
        : engine_(
              [this](engine_connection& connection, const engine_request& request) {
                  ++received_;
                  respond_(connection, request);
              },
              start) {
        cluster_.configure(1, {"k1"});
        cluster_.add_engine("i-shop", "shop", engine_);
        cluster_.add_engine("i-model", "model", engine_);
        node_ = &cluster_.start_node();
    }

    // Sends one request on a connection of its own and checks that the engine received it.
    kept_answer ask(const std::string& path, const engine_stand_in::handler& respond,
                    const std::string& body = "b") {
        respond_ = respond;
        const int before = received_;
        kept_connection caller(node_->callers);
        const auto id = "r" + std::to_string(++sent_);
        caller.send(path + id, id, deadline, {}, body);
        auto answer = caller.read(patience);
        CHECK(received_ > before);
        return answer;
    }

  private:
    engine_stand_in::handler respond_;
    std::atomic<int> received_{0};
    int sent_ = 0;
    relay_cluster cluster_;
    engine_stand_in engine_;
    relay_process* node_ = nullptr;
};

// Answers with this status line and a sound rest.
engine_stand_in::handler answer_with_status_line(const std::string& line) {
    return [line](engine_connection& connection, const engine_request& request) {
        connection.send(line + "\r\n" + engine_headers(request) +
                        "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: e\n\n");
    };
}

// Answers with this line in the middle of a sound head.
engine_stand_in::handler answer_with_header_line(const std::string& line) {
    return [line](engine_connection& connection, const engine_request& request) {
        connection.send(
            "HTTP/1.1 200 OK\r\n" + engine_headers(request) + line +
            "\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: e\n\n");
        connection.shut();
    };
}

} // namespace

TEST_CASE("an answer whose status is no final status reaches no caller") {
    // Guards against an engine in trouble whose answer has a status that HTTP doesn't know, or the status of
    // a protocol change that nobody asked for: the caller got it as an answer.
    one_engine fixture;
    for (const char* line : {"HTTP/1.1 000 OK", "HTTP/1.1 007 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
                             "HTTP/1.1 999 OK", "HTTP/1.1 101 Switching Protocols"}) {
        for (const auto& path : all_paths) {
            INFO("status line: ", std::string(line), ", path: ", path);
            const auto answer = fixture.ask(path, answer_with_status_line(line));
            CHECK(answer.complete);
            CHECK(answer.status == 502);
            CHECK(answer.headers.count("x-server-signature") == 0);
        }
    }
}

TEST_CASE("interim answers before the final one don't reach the caller") {
    // Guards against a `100 Continue` that is taken for the answer of its request.
    one_engine fixture;
    for (const auto& path : all_paths) {
        INFO("path: ", path);
        const auto answer =
            fixture.ask(path, [](engine_connection& connection, const engine_request& request) {
                connection.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n");
                connection.answer(request, 200, "id: 1\ndata: e\n\n");
            });
        CHECK(is_success(answer));
        CHECK(answer.body == "id: 1\ndata: e\n\n");
        CHECK(answer.headers.count("x-hint") == 0);
    }
}

TEST_CASE("an answer without a length that is reset during the upload does not look complete") {
    // Guards against the end of a connection that looks like the end of an answer: the write of the body
    // fails with the reset, and the read after it finds an ordinary end.
    const std::string long_body(4U * 1024 * 1024, 'u');
    one_engine fixture(engine_start::head_only);
    for (const int pause_ms : {0, 20, 200}) {
        for (const auto& path : all_paths) {
            INFO("path: ", path, ", pause: ", pause_ms);
            const auto answer = fixture.ask(
                path,
                [pause_ms](engine_connection& connection, const engine_request& request) {
                    connection.send("HTTP/1.1 200 OK\r\n" + engine_headers(request) +
                                    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: e\n\n");
                    std::this_thread::sleep_for(milliseconds(pause_ms));
                    connection.reset();
                },
                long_body);
            CHECK_FALSE(is_success(answer));
        }
    }
}

TEST_CASE("an answer without a length that ends in order during the upload reaches the caller whole") {
    // Guards against early answers of sound engines that are taken for broken ones. The engine ends its
    // stream and then closes the connection with unread bytes, which resets it.
    const std::string long_body(4U * 1024 * 1024, 'u');
    one_engine fixture(engine_start::head_only);
    for (const milliseconds pause : {milliseconds(0), milliseconds(100)}) {
        for (const auto& path : all_paths) {
            INFO("path: ", path, ", pause before the reset: ", pause.count());
            const auto answer = fixture.ask(
                path,
                [pause](engine_connection& connection, const engine_request& request) {
                    connection.send("HTTP/1.1 200 OK\r\n" + engine_headers(request) +
                                    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: e\n\n");
                    connection.shut();
                    std::this_thread::sleep_for(pause);
                },
                long_body);
            CHECK(is_success(answer));
            CHECK(answer.body == "id: 1\ndata: e\n\n");
        }
    }
}

TEST_CASE("an answer with a blank or a control byte in the name of a field reaches no caller") {
    // Guards against an engine in trouble whose head was passed on with that line, or whose body was framed
    // without it.
    const std::vector<std::string> lines = {
        "X-Odd Name: 1",
        "X-Odd : 1",
        "Content-Length : 3",
        "Transfer-Encoding : chunked",
        " X-Odd: 1",
        "\tX-Odd: 1",
        " Content-Length: 3",
        "X-Odd\tName: 1",
        "X-Odd\x01Name: 1",
        "\x02X-Odd: 1",
        "X-Odd\x7f: 1",
        std::string("X-Odd\0: 1", 9),
        ": 1",
        "X-Odd",
    };
    one_engine fixture;
    for (const auto& line : lines) {
        for (const auto& path : all_paths) {
            INFO("line: ", line, ", path: ", path);
            const auto answer = fixture.ask(path, answer_with_header_line(line));
            CHECK(answer.complete);
            CHECK(answer.status == 502);
            const bool passed_on =
                std::any_of(answer.headers.begin(), answer.headers.end(), [](const auto& field) {
                    return contains(field.first, "odd") || contains(field.second, "X-Odd");
                });
            CHECK_FALSE(passed_on);
        }
    }
}

TEST_CASE("an answer that ends in the middle of its head reaches no caller") {
    // Guards against a part of a head that is taken for a whole one, with an empty or a short body.
    const std::vector<std::string> beginnings = {
        "H",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nID",
        "HTTP/1.1 200 OK\r\nIDContent-Length: 10\r\n",
        "HTTP/1.1 200 OK\r\nIDContent-Length: 10\r\n\r",
        "HTTP/1.1 200 OK\r\nIDContent-Length: 1",
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n",
    };
    one_engine fixture;
    for (const auto& beginning : beginnings) {
        for (const bool with_reset : {false, true}) {
            for (const auto& path : all_paths) {
                INFO("beginning: ", beginning, ", path: ", path, ", with reset: ", with_reset);
                const auto answer =
                    fixture.ask(path, [&](engine_connection& connection, const engine_request& request) {
                        connection.send(with_headers(beginning, request));
                        with_reset ? connection.reset() : connection.shut();
                    });
                CHECK(answer.complete);
                CHECK(answer.status == 502);
            }
        }
    }
}

TEST_CASE("a broken answer to a continuation does not end the stream as a whole one") {
    // Guards against a stream that moves to another engine and ends there with bytes that are no answer.
    const std::string events =
        "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 2\ndata: e\n\n";
    const std::vector<std::string> continuations = {
        "HTTP/1.1 000 OK\r\nID" + events,
        "HTTP/1.1 200 OK\r\nID X-Odd: 1\r\n" + events,
        "HTTP/1.1 200 OK\r\nIDContent-Length: 0\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
    };
    one_engine fixture;
    for (const auto& continuation : continuations) {
        INFO("continuation: ", continuation);
        const auto answer =
            fixture.ask("/chat/", [&](engine_connection& connection, const engine_request& request) {
                if (request.headers.count("last-event-id") > 0) {
                    connection.send(with_headers(continuation, request));
                } else {
                    connection.begin_stream(request);
                    connection.send_chunk("id: 1\ndata: e\n\n");
                }
                connection.shut();
            });
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.complete);
        CHECK(answer.body == "id: 1\ndata: e\n\n");
    }
}

TEST_CASE("a broken refusal is no promise that the request has not run") {
    // Guards against a 503 to a caller that places its order again although the engine may have run it.
    const std::string refusal = "X-Not-Executed: 1\r\n";
    const std::vector<std::string> refusals = {
        "HTTP/1.1 503 Full\r\nID" + refusal,
        "HTTP/1.1 000 Full\r\nID" + refusal + "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nID" + refusal + " X-Odd: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nID" + refusal + "\r\n",
    };
    one_engine fixture;
    for (const auto& bytes : refusals) {
        INFO("refusal: ", bytes);
        const auto answer =
            fixture.ask("/order/", [&](engine_connection& connection, const engine_request& request) {
                connection.send(with_headers(bytes, request));
                connection.shut();
            });
        CHECK(answer.complete);
        CHECK(answer.status == 502);
    }
}
