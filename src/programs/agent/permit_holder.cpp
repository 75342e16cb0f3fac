#include "programs/agent/permit_holder.h"

#include "citronseam/process/random.h"

namespace citronseam {

namespace {

constexpr milliseconds release_retry_interval{500};

} // namespace

permit_holder::permit_holder(agent_context& context, std::string scope)
    : context_(context), scope_(std::move(scope)) {}

template<typename Function>
auto permit_holder::on_control(Function function) {
    return [self = shared_from_this(), function = std::move(function)](result<table_row> row) {
        self->context_.control.post([self, function, row = std::move(row)] { function(row); });
    };
}

std::string permit_holder::row_name() const {
    return permit_row_key(context_.options.backend_server.service, scope_, slot_);
}

std::string permit_holder::next_record() {
    permit_record record;
    record.holder = context_.options.instance;
    record.attempt = attempt_;
    record.expires_at_ms = wall_clock_ms() + static_cast<std::uint64_t>(permit_lifetime.count());
    return to_json(record);
}

void permit_holder::acquire(std::uint32_t slots, const outcome_callback& done) {
    auto random = seeded_random_source();
    attempt_ = unique_identifier(random);
    row_tag_.clear();
    try_slot(0, slots, done);
}

void permit_holder::try_slot(std::uint32_t slot, std::uint32_t slots,
                             const outcome_callback& done) {
    if (slot >= slots) {
        done(false);
        return;
    }
    slot_ = slot;
    context_.store.insert(tables::permits, row_name(), next_record(),
                          on_control([this, slot, slots, done](const result<table_row>& written) {
                              if (written) {
                                  row_tag_ = written->tag;
                                  done(true);
                              } else if (written.error().code == error_code::unavailable) {
                                  done(false);
                              } else {
                                  handle_occupied(slot, slots, done);
                              }
                          }));
}

void permit_holder::handle_occupied(std::uint32_t slot, std::uint32_t slots,
                                    const outcome_callback& done) {
    context_.store.read(tables::permits, row_name(),
                        on_control([this, slot, slots, done](const result<table_row>& row) {
                            if (!row) {
                                done(false);
                                return;
                            }
                            const auto record = parse_permit(row->value);
                            if (record && record->attempt == attempt_) {
                                // The response to the insert was lost, but the insert took effect.
                                row_tag_ = row->tag;
                                done(true);
                            } else if (!record || can_take_over(*record)) {
                                take_over(slot, slots, *row, done);
                            } else {
                                try_slot(slot + 1, slots, done);
                            }
                        }));
}

bool permit_holder::can_take_over(const permit_record& record) const {
    // The permit belongs to an earlier attempt of this instance that could not release it, or to
    // another process of the same instance; that process learns from verify() that it lost the
    // permit.
    const bool is_own_earlier = record.holder == context_.options.instance;
    return is_own_earlier || is_permit_free(record, wall_clock_ms());
}

void permit_holder::take_over(std::uint32_t slot, std::uint32_t slots, const table_row& row,
                              const outcome_callback& done) {
    context_.store.replace(tables::permits, row_name(), row.tag, next_record(),
                           on_control([this, slot, slots, done](const result<table_row>& written) {
                               if (written) {
                                   row_tag_ = written->tag;
                                   done(true);
                               } else {
                                   try_slot(slot + 1, slots, done);
                               }
                           }));
}

void permit_holder::verify(const outcome_callback& done) {
    if (!is_held()) {
        done(false);
        return;
    }
    context_.store.read(
        tables::permits, row_name(), on_control([this, done](const result<table_row>& row) {
            const auto record =
                row ? parse_permit(row->value) : result<permit_record>(tl::unexpected(row.error()));
            if (!record || !is_permit_valid(*record, attempt_, wall_clock_ms())) {
                done(false);
                return;
            }
            row_tag_ = row->tag;
            const auto half = static_cast<std::uint64_t>(permit_lifetime.count()) / 2;
            if (wall_clock_ms() + half > record->expires_at_ms) {
                renew(done);
            } else {
                done(true);
            }
        }));
}

void permit_holder::renew(const outcome_callback& done) {
    context_.store.replace(tables::permits, row_name(), row_tag_, next_record(),
                           on_control([this, done](const result<table_row>& written) {
                               if (written) {
                                   row_tag_ = written->tag;
                               }
                               done(written.has_value());
                           }));
}

void permit_holder::release() {
    if (!is_held()) {
        return;
    }
    remove_row(row_name(), row_tag_, std::chrono::steady_clock::now() + permit_lifetime);
    row_tag_.clear();
}

void permit_holder::remove_row(const std::string& row, const std::string& tag, time_point until) {
    context_.store.remove(
        tables::permits, row, tag,
        on_control([this, row, tag, until](const result<table_row>& removed) {
            const bool is_store_unavailable =
                !removed && removed.error().code != error_code::precondition_failed;
            // Retries end with the lifetime of the permit, after which it has expired anyway.
            if (is_store_unavailable && std::chrono::steady_clock::now() < until) {
                context_.control.post_after(release_retry_interval,
                                            [self = shared_from_this(), row, tag, until] {
                                                self->remove_row(row, tag, until);
                                            });
            }
        }));
}

} // namespace citronseam
