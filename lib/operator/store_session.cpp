#include "waxwingfall/operator/store_session.h"

#include <boost/leaf/error.hpp>

namespace waxwingfall {

namespace {

constexpr milliseconds retry_interval{200};

boost::leaf::error_id unavailable() {
    return boost::leaf::new_error(
        command_error{error_kind::platform_unavailable, "the platform's key-value service does not answer"});
}

} // namespace

store_session::store_session(const command_options& options)
    : client_{&loop_, options.platform}, retry_timeout_(options.retry_timeout) {}

store_response store_session::call(const async_call& start) {
    store_response result;
    bool completed = false;
    start([&](const store_response& response) {
        result = response;
        completed = true;
        loop_.stop();
    });
    if (!completed) {
        loop_.run();
    }
    return result;
}

boost::leaf::result<store_response> store_session::call_with_retries(const async_call& start) {
    const time_point deadline = monotonic_now() + retry_timeout_;
    while (true) {
        store_response response = call(start);
        const bool is_final =
            response.status != store_status::not_reached && response.status != store_status::unknown;
        if (is_final) {
            return response;
        }
        if (monotonic_now() >= deadline) {
            return unavailable();
        }
        pause(retry_interval);
    }
}

void store_session::pause(milliseconds delay) {
    loop_.run_for(delay);
}

boost::leaf::result<revisioned_head> store_session::load_head(const std::string& environment) {
    BOOST_LEAF_AUTO(response, call_with_retries([&](store_callback done) {
                        read_value(client_, head_key(environment), std::move(done));
                    }));
    if (response.status == store_status::absent) {
        return revisioned_head{};
    }
    BOOST_LEAF_AUTO(head, decode_head(response.value.bytes));
    return revisioned_head{head, response.value.revision};
}

boost::leaf::result<std::string> store_session::load_body(const std::string& environment,
                                                          const std::string& digest) {
    BOOST_LEAF_AUTO(response, call_with_retries([&](store_callback done) {
                        read_value(client_, body_key(environment, digest), std::move(done));
                    }));
    if (response.status != store_status::ok) {
        return boost::leaf::new_error(
            command_error{error_kind::platform_corrupt, "the content of an accepted version is absent"});
    }
    return response.value.bytes;
}

boost::leaf::result<void> store_session::save_body(const std::string& environment, const std::string& digest,
                                                   const std::string& bytes) {
    const std::string key = body_key(environment, digest);
    BOOST_LEAF_CHECK(call_with_retries(
        [&](store_callback done) { overwrite_value(client_, key, bytes, {}, std::move(done)); }));
    return {};
}

boost::leaf::result<proposal_verdict>
store_session::propose(const std::string& environment, const proposal& requested, const std::string& bytes) {
    const time_point deadline = monotonic_now() + retry_timeout_;
    proposal proposed = requested;
    while (true) {
        BOOST_LEAF_AUTO(current, load_head(environment));
        if (!proposed.expected_version) {
            // The operator's change is based on the newest accepted version; another version that is accepted
            // before the write below causes a conflict.
            proposed.expected_version = newest(current.head).id.version;
        }
        proposal_verdict verdict = evaluate_proposal(current.head, proposed, wall_now());
        if (verdict.decision != proposal_verdict::action::write) {
            return verdict;
        }
        std::string base;
        const std::string base_digest = newest(current.head).id.digest;
        if (!base_digest.empty()) {
            BOOST_LEAF_ASSIGN(base, load_body(environment, base_digest));
        }
        embed_content(verdict.next, base_digest, base, bytes);
        const store_response written = call([&](store_callback done) {
            write_value(client_, head_key(environment), current.revision, encode_head(verdict.next), {},
                        std::move(done));
        });
        if (written.status == store_status::ok) {
            return verdict;
        }
        // A conflict means that another write came first; an unknown outcome may mean that this write took
        // effect. Both are resolved by rereading the head.
        if (written.status != store_status::conflict) {
            if (monotonic_now() >= deadline) {
                return unavailable();
            }
            pause(retry_interval);
        }
    }
}

boost::leaf::result<std::vector<wire::zone_report>>
store_session::load_reports(const std::string& environment) {
    BOOST_LEAF_AUTO(response, call_with_retries([&](store_callback done) {
                        list_values(client_, report_prefix(environment), std::move(done));
                    }));
    std::vector<wire::zone_report> reports;
    for (const stored_value& value : response.values) {
        wire::zone_report report;
        if (!report.ParseFromString(value.bytes)) {
            return boost::leaf::new_error(error_kind::platform_corrupt);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace waxwingfall
