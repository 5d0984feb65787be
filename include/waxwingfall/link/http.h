#ifndef WAXWINGFALL_LINK_HTTP_H
#define WAXWINGFALL_LINK_HTTP_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <event2/http.h>

#include "waxwingfall/link/address.h"
#include "waxwingfall/link/event_loop.h"

namespace waxwingfall {

/// One header of a request or an answer.
struct http_header {
    std::string name;
    std::string value;
    auto operator<=>(const http_header&) const = default;
};

/// A whole request with a small body.
struct http_request {
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string path; ///< with its query
    std::vector<http_header> headers;
    std::string body;
};

/// A whole answer with a small body, or the way in which there was none.
struct http_answer {
    enum class delivery {
        answered,
        not_connected, ///< the connection failed before anything was sent
        lost           ///< the request may have been received
    };
    delivery how = delivery::not_connected;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
};

/// Sends `request` over a connection of its own and calls `done` once, always. For control, not for callers'
/// requests. Answers over `max_body` bytes count as lost.
void exchange(const event_loop& loop, const ip_address& address, const http_request& request,
              milliseconds timeout, std::function<void(const http_answer&)> done);

/// A small HTTP server with buffered requests and answers.
class http_server {
public:
    using handler = std::function<void(evhttp_request*)>;

    /// Binds `address`; throws std::runtime_error naming the address if that fails.
    http_server(const event_loop& loop, const ip_address& address, handler on_request);

    /// Stops accepting connections; those that are open go on.
    void stop_accepting();

    evhttp* raw() const { return http_.get(); }

private:
    struct http_deleter {
        void operator()(evhttp* http) const { evhttp_free(http); }
    };
    std::unique_ptr<evhttp, http_deleter> http_;
    evhttp_bound_socket* socket_ = nullptr;
    handler on_request_;
};

/// Answers with a status, a body and headers.
void answer(evhttp_request* request, int status, std::string_view body,
            const std::vector<http_header>& headers = {});

/// The value of a request's header, or an empty text.
std::string request_header(evhttp_request* request, const char* name);

/// The whole body of a request.
std::string request_body(evhttp_request* request);

/// The value of a parameter in a request's query, or an empty text.
std::string query_value(evhttp_request* request, const char* name);

/// The path of a request without its query.
std::string request_path(evhttp_request* request);

/// Closes the connection of a request without an answer to it.
void drop_connection(evhttp_request* request);

/// True if the other side has closed a connection. The library does not look for that while a request is
/// being worked on.
bool is_closed_by_peer(evhttp_connection* connection);

/// The name of a method, for example "GET".
std::string_view method_name(evhttp_cmd_type method);

} // namespace waxwingfall

#endif
