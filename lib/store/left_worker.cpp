#include "waxwingfall/store/left_worker.h"

#include "waxwingfall/wire/wire.pb.h"

namespace waxwingfall {

std::string left_worker_key(const std::string& environment, const std::string& node) {
    return "left/" + environment + "/" + node;
}

std::string encode_left_worker(const left_worker& left) {
    wire::member record;
    record.set_left_worker(left.worker_id);
    record.set_left_worker_start(left.incarnation);
    return record.SerializeAsString();
}

std::optional<left_worker> decode_left_worker(std::string_view bytes) {
    wire::member record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        record.left_worker().empty() || record.left_worker().size() > max_worker_name_bytes) {
        return std::nullopt;
    }
    return left_worker{record.left_worker(), record.left_worker_start()};
}

} // namespace waxwingfall
