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

/// A header of a request or a response.
struct http_header {
    std::string name;
    std::string value;
    auto operator<=>(const http_header&) const = default;
};

/// True if the name is a token and the value has no control characters other than tabs (RFC 9110, section 5).
/// HTTP parsers accept others and pass them on; recipients then disagree about where the field ends.
bool is_valid_header(const http_header& header);

/// True for the status codes that HTTP defines, 100 to 599.
bool is_valid_status(int status);

/// Compares header names or tokens without regard to the case of ASCII letters.
bool equal_ignoring_case(std::string_view left, std::string_view right);

/// The first header called `name`, or null.
const http_header* find_header(const std::vector<http_header>& headers, std::string_view name);

/// The value of the first header called `name`, or an empty string.
std::string header_value(const std::vector<http_header>& headers, std::string_view name);

/// The number of headers called `name`.
std::size_t count_headers(const std::vector<http_header>& headers, std::string_view name);

/// A request with its full body, for small bodies only.
struct http_request {
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string path; ///< including the query
    std::vector<http_header> headers;
    std::string body;
};

/// A response with its full body, for small bodies only, or the reason why there is none.
struct http_response {
    enum class delivery {
        response_received, ///< a response was received
        not_connected,     ///< the connection failed before anything was sent
        no_response        ///< no response; the server may have received the request
    };
    delivery delivery_status = delivery::not_connected;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
};

struct pending_exchange;

/// Refers to a started exchange. Copies refer to the same one; an object may outlive its exchange.
class exchange_handle {
public:
    exchange_handle() = default;
    explicit exchange_handle(std::weak_ptr<pending_exchange> pending) : pending_(std::move(pending)) {}

    /// True if the head of the response has been received and its body has not ended yet.
    bool is_receiving() const;

    /// Ends the exchange and closes its connection; its callback is not called. Has no effect on an exchange
    /// that has ended.
    void cancel();

private:
    std::weak_ptr<pending_exchange> pending_;
};

/// Sends `request` over a dedicated connection and calls `done` exactly once, unless it is cancelled. Meant
/// for control traffic, not for client requests. A response is reported as `no_response` if its head is not
/// complete after `timeout`, if its body pauses for a second or takes longer than 6 s, or if that is over
/// 4 MiB. The connection may be alive all the while.
exchange_handle exchange(const event_loop& loop, const ip_address& address, const http_request& request,
                         milliseconds timeout, std::function<void(const http_response&)> done);

/// An HTTP server that buffers requests and responses in full.
class http_server {
public:
    using handler = std::function<void(evhttp_request*)>;

    /// Binds `address`. Throws std::runtime_error with the address in its text if that fails.
    http_server(const event_loop& loop, const ip_address& address, handler on_request);

    /// Stops accepting connections. Open connections are still served.
    void stop_accepting();

    evhttp* raw() const { return http_.get(); }

private:
    struct http_deleter {
        void operator()(evhttp* http) const { evhttp_free(http); }
    };
    const event_loop& loop_;
    std::unique_ptr<evhttp, http_deleter> http_;
    evhttp_bound_socket* socket_ = nullptr;
    handler on_request_;
};

/// Sends the response to `request`.
void send_response(evhttp_request* request, int status, std::string_view body,
                   const std::vector<http_header>& headers = {});

/// The value of a request header, or an empty string if it is absent.
std::string request_header(evhttp_request* request, const char* name);

std::string request_body(evhttp_request* request);

/// The value of a query parameter of a request, or an empty string if it is absent.
std::string query_value(evhttp_request* request, const char* name);

/// The path of a request without its query.
std::string request_path(evhttp_request* request);

/// Closes the connection of a request without sending a response.
void drop_connection(evhttp_request* request);

/// True if the peer has closed the connection. libevent does not detect this while a request is being
/// processed.
bool is_closed_by_peer(evhttp_connection* connection);

/// The name of a method, for example "GET"; "OTHER" for a method without a case of its own.
std::string_view method_name(evhttp_cmd_type method);

} // namespace waxwingfall

#endif
