#include "upstream_connection.h"

#include "waxwingfall/node/downstream.h"

namespace waxwingfall {

namespace {

constexpr int first_final_status = 200;

upstream_pool::connection& owner_of(http_parser* parser) {
    return *static_cast<upstream_pool::connection*>(parser->data);
}

int on_begin(http_parser* parser) {
    upstream_pool::connection& reader = owner_of(parser);
    reader.headers.clear();
    reader.field.clear();
    reader.value.clear();
    reader.in_value = false;
    reader.awaited = false;
    return 0;
}

int on_field(http_parser* parser, const char* at, std::size_t size) {
    upstream_pool::connection& reader = owner_of(parser);
    if (reader.in_value) {
        reader.store_header();
    }
    reader.field.append(at, size);
    return 0;
}

int on_value(http_parser* parser, const char* at, std::size_t size) {
    upstream_pool::connection& reader = owner_of(parser);
    reader.in_value = true;
    reader.value.append(at, size);
    return 0;
}

int on_headers_complete(http_parser* parser) {
    upstream_pool::connection& reader = owner_of(parser);
    reader.store_header();
    const bool is_final = parser->status_code >= first_final_status;
    // An answer to an earlier request may still come; the echoed header tells them apart.
    const bool is_own = !reader.echo || header_value(reader.headers, reader.echo->name) == reader.echo->value;
    reader.awaited = is_final && is_own;
    reader.headers_ready = reader.awaited;
    reader.acknowledged = reader.acknowledged || is_own || !is_final;
    return reader.is_head ? 1 : 0;
}

int on_body(http_parser* parser, const char* at, std::size_t size) {
    upstream_pool::connection& reader = owner_of(parser);
    if (reader.awaited) {
        evbuffer_add(reader.body, at, size);
    }
    return 0;
}

int on_message_complete(http_parser* parser) {
    upstream_pool::connection& reader = owner_of(parser);
    if (reader.awaited) {
        reader.complete = true;
        http_parser_pause(parser, 1);
    }
    return 0;
}

} // namespace

const http_parser_settings& answer_parser_settings() {
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_message_begin = on_begin;
        made.on_header_field = on_field;
        made.on_header_value = on_value;
        made.on_headers_complete = on_headers_complete;
        made.on_body = on_body;
        made.on_message_complete = on_message_complete;
        return made;
    }();
    return settings;
}

} // namespace waxwingfall
