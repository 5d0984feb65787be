#include "waxwingfall/http/message_body.h"

#include <algorithm>
#include <cstring>

namespace waxwingfall {

namespace {

constexpr std::size_t min_block_bytes = 512;
/// Below the size from which malloc maps memory separately, so that a block costs no more than its bytes.
constexpr std::size_t max_block_bytes = 64UL * 1024;

} // namespace

message_body::message_body(std::shared_ptr<byte_count> count) : count_(std::move(count)) {}

message_body::~message_body() {
    count_->used -= occupied_;
}

void message_body::append(std::string_view piece, std::uint64_t expected) {
    while (!piece.empty()) {
        if (blocks_.empty() || blocks_.back().size == blocks_.back().capacity) {
            // Blocks of an unknown number double the size, so that at most half of it is unused.
            const std::uint64_t wanted = expected > 0 ? std::max<std::uint64_t>(expected, piece.size())
                                                      : std::max(piece.size(), size_);
            const auto capacity = static_cast<std::size_t>(
                std::clamp<std::uint64_t>(wanted, expected > 0 ? 1 : min_block_bytes, max_block_bytes));
            blocks_.push_back({std::make_unique_for_overwrite<char[]>(capacity), capacity, 0});
            occupied_ += capacity;
            count_->used += capacity;
        }
        block& last = blocks_.back();
        const std::size_t copied = std::min(piece.size(), last.capacity - last.size);
        std::memcpy(last.bytes.get() + last.size, piece.data(), copied);
        last.size += copied;
        size_ += copied;
        expected -= std::min<std::uint64_t>(expected, copied);
        piece.remove_prefix(copied);
    }
}

void message_body::for_each_piece(const std::function<void(std::string_view)>& visit) const {
    for (const block& part : blocks_) {
        visit({part.bytes.get(), part.size});
    }
}

void add_body_reference(evbuffer* out, const std::shared_ptr<const message_body>& body) {
    using holder = std::shared_ptr<const message_body>;
    body->for_each_piece([&](std::string_view piece) {
        auto held = std::make_unique<holder>(body);
        const int failed = evbuffer_add_reference(
            out, piece.data(), piece.size(),
            [](const void*, std::size_t, void* context) {
                const std::unique_ptr<holder> released(static_cast<holder*>(context));
            },
            held.get());
        if (failed == 0) {
            static_cast<void>(held.release());
        }
    });
}

} // namespace waxwingfall
