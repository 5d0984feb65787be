#ifndef WAXWINGFALL_NODE_EVIDENCE_EXCHANGE_H
#define WAXWINGFALL_NODE_EVIDENCE_EXCHANGE_H

#include "waxwingfall/proxy/node_context.h"

namespace waxwingfall {

/// Asks the bridges of the data centre for evidence that the enforced contract is recent, while requests need
/// it, and logs when it has expired and when the node has some again.
class evidence_exchange {
public:
    explicit evidence_exchange(node_context& node) : node_(node) {}

    /// Sends the question that is due, if there is one.
    void tick(boot_time now);

private:
    void log_changes(boot_time now);

    node_context& node_;
    bool was_valid_ = true;
};

} // namespace waxwingfall

#endif
