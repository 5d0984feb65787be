#ifndef WAXWINGFALL_HTTP_MESSAGE_BODY_H
#define WAXWINGFALL_HTTP_MESSAGE_BODY_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include <event2/buffer.h>

namespace waxwingfall {

/// Counts the bytes that requests and unsent responses occupy. Shared by all holders of such bytes, which may
/// outlive the servers.
struct byte_count {
    std::size_t used = 0;
};

/// The body of a request, in blocks that are filled one after the other, so that a body that arrives in tiny
/// pieces occupies little more than its size. It is written to other connections by reference.
class message_body {
public:
    /// `count` is charged with the occupied bytes until the body is destroyed.
    explicit message_body(std::shared_ptr<byte_count> count);
    ~message_body();
    message_body(const message_body&) = delete;
    message_body& operator=(const message_body&) = delete;

    /// Appends a copy of `piece`. `expected` is the number of bytes from its start to the end of the body if
    /// that is known, or 0.
    void append(std::string_view piece, std::uint64_t expected);

    std::size_t size() const { return size_; }

    /// Bytes allocated for the body.
    std::size_t occupied() const { return occupied_; }

    /// Calls `visit` with each part of the body, in order.
    void for_each_piece(const std::function<void(std::string_view)>& visit) const;

private:
    struct block {
        std::unique_ptr<char[]> bytes;
        std::size_t capacity = 0;
        std::size_t size = 0;
    };
    std::shared_ptr<byte_count> count_;
    std::vector<block> blocks_;
    std::size_t size_ = 0;
    std::size_t occupied_ = 0;
};

/// Appends `body` to `out` by reference. The body is kept until its bytes have left the buffer.
void add_body_reference(evbuffer* out, const std::shared_ptr<const message_body>& body);

} // namespace waxwingfall

#endif
