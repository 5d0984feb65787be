#include "waxwingfall/operator/store_session.h"

#include <boost/leaf/error.hpp>

namespace waxwingfall {

namespace {

constexpr milliseconds retry_pause{200};

boost::leaf::error_id unavailable() {
    return boost::leaf::new_error(
        command_error{error_kind::platform_unavailable, "the platform's key-value service does not answer"});
}

} // namespace

store_session::store_session(const command_options& options)
    : client_{&loop_, options.platform}, patience_(options.patience) {}

store_answer store_session::call(const starter& start) {
    store_answer result;
    bool answered = false;
    start([&](const store_answer& answer) {
        result = answer;
        answered = true;
        loop_.stop();
    });
    if (!answered) {
        loop_.run();
    }
    return result;
}

boost::leaf::result<store_answer> store_session::call_patiently(const starter& start) {
    const time_point give_up = monotonic_now() + patience_;
    while (true) {
        store_answer answer = call(start);
        const bool reached =
            answer.status != store_status::not_reached && answer.status != store_status::unknown;
        if (reached) {
            return answer;
        }
        if (monotonic_now() >= give_up) {
            return unavailable();
        }
        pause(retry_pause);
    }
}

void store_session::pause(milliseconds delay) {
    loop_.run_for(delay);
}

boost::leaf::result<read_head> store_session::load_head(const std::string& environment) {
    BOOST_LEAF_AUTO(answer, call_patiently([&](store_callback done) {
                        read_value(client_, head_key(environment), std::move(done));
                    }));
    if (answer.status == store_status::absent) {
        return read_head{};
    }
    BOOST_LEAF_AUTO(head, decode_head(answer.value.bytes));
    return read_head{head, answer.value.revision};
}

boost::leaf::result<std::string> store_session::load_body(const std::string& environment,
                                                          const std::string& digest) {
    BOOST_LEAF_AUTO(answer, call_patiently([&](store_callback done) {
                        read_value(client_, body_key(environment, digest), std::move(done));
                    }));
    if (answer.status != store_status::ok) {
        return boost::leaf::new_error(
            command_error{error_kind::platform_corrupt, "the content of an accepted version is absent"});
    }
    return answer.value.bytes;
}

boost::leaf::result<void> store_session::save_body(const std::string& environment, const std::string& digest,
                                                   const std::string& bytes) {
    const std::string key = body_key(environment, digest);
    BOOST_LEAF_CHECK(call_patiently(
        [&](store_callback done) { overwrite_value(client_, key, bytes, {}, std::move(done)); }));
    return {};
}

boost::leaf::result<proposal_verdict>
store_session::propose(const std::string& environment, const proposal& wanted, const std::string& bytes) {
    const time_point give_up = monotonic_now() + patience_;
    proposal proposed = wanted;
    while (true) {
        BOOST_LEAF_AUTO(current, load_head(environment));
        if (!proposed.expected_version) {
            // What is in force now is what the operator competes with: a version that comes between wins.
            proposed.expected_version = newest(current.head).mark.version;
        }
        proposal_verdict verdict = judge_proposal(current.head, proposed, wall_now());
        if (verdict.what != proposal_verdict::action::write) {
            return verdict;
        }
        std::string base;
        const std::string base_digest = newest(current.head).mark.digest;
        if (!base_digest.empty()) {
            BOOST_LEAF_ASSIGN(base, load_body(environment, base_digest));
        }
        attach_content(verdict.next, base_digest, base, bytes);
        const store_answer written = call([&](store_callback done) {
            write_value(client_, head_key(environment), current.revision, encode_head(verdict.next), {},
                        std::move(done));
        });
        if (written.status == store_status::ok) {
            return verdict;
        }
        // A conflict means that somebody was faster; an unknown end may be an own write. Reading again tells.
        if (written.status != store_status::conflict) {
            if (monotonic_now() >= give_up) {
                return unavailable();
            }
            pause(retry_pause);
        }
    }
}

boost::leaf::result<std::vector<wire::zone_report>>
store_session::load_reports(const std::string& environment) {
    BOOST_LEAF_AUTO(answer, call_patiently([&](store_callback done) {
                        list_values(client_, report_prefix(environment), std::move(done));
                    }));
    std::vector<wire::zone_report> reports;
    for (const stored_value& value : answer.listed) {
        wire::zone_report report;
        if (!report.ParseFromString(value.bytes)) {
            return boost::leaf::new_error(error_kind::platform_corrupt);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace waxwingfall
