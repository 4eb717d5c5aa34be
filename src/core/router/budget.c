/* budget.c - token budgets of programs, enforced across entry hosts.

   Needs: budget.h, proto/turn.pb-c.h.  */

#include "budget.h"
#include "../../../proto/turn.pb-c.h"
#include <string.h>

static uint64_t
recorded_total (const struct mq_budget_record *record)
{
  uint64_t total = record->spent;

  for (uint32_t i = 0; i < record->grant_count; i++)
    total += record->grants[i].tokens;
  return total;
}

static uint64_t
grant_of (const struct mq_budget_record *record, uint64_t holder)
{
  for (uint32_t i = 0; i < record->grant_count; i++)
    if (record->grants[i].holder == holder)
      return record->grants[i].tokens;
  return 0;
}

static void
remove_grant (struct mq_budget_record *record, uint32_t index)
{
  record->grant_count--;
  record->grants[index] = record->grants[record->grant_count];
}

/* Sets the grant of HOLDER.  If the record is full, the first grant is counted
   as spent, which keeps the limit.  */
static void
set_grant (struct mq_budget_record *record, uint64_t holder, uint64_t tokens)
{
  for (uint32_t i = 0; i < record->grant_count; i++)
    if (record->grants[i].holder == holder)
      {
        record->grants[i].tokens = tokens;
        if (tokens == 0)
          remove_grant (record, i);
        return;
      }
  if (tokens == 0)
    return;
  if (record->grant_count == MQ_BUDGET_HOLDERS_MAX)
    {
      record->spent += record->grants[0].tokens;
      remove_grant (record, 0);
    }
  record->grants[record->grant_count++]
      = (struct mq_budget_grant){ holder, tokens };
}

/* Tokens available to a new turn.  */
static uint64_t
available (const struct mq_budget *budget)
{
  return budget->held + budget->ungranted - budget->reserved;
}

/* Tokens that a new record could still grant.  */
static uint64_t
grantable (const struct mq_budget *budget, uint64_t limit)
{
  uint64_t taken = recorded_total (&budget->record) + budget->issued;

  return taken < limit ? limit - taken : 0;
}

/* Cancels issued tokens that are neither used nor reserved.  */
static void
cancel_issued (struct mq_budget *budget)
{
  uint64_t free = available (budget);
  uint64_t cancelled = budget->issued;

  if (cancelled > budget->ungranted)
    cancelled = budget->ungranted;
  if (cancelled > free)
    cancelled = free;
  budget->ungranted -= cancelled;
  budget->issued -= cancelled;
}

/* Builds the next record: counts this host's used and issued tokens as spent
   and raises its grant by EXTRA.  */
static void
build_next (struct mq_budget *budget, uint64_t holder, uint64_t limit,
            uint64_t extra, struct mq_budget_record *next)
{
  uint64_t granted = grant_of (&budget->record, holder);

  budget->settling = granted - budget->held;
  budget->recording = budget->issued;
  *next = budget->record;
  next->limit = limit;
  next->spent += budget->settling + budget->recording;
  set_grant (next, holder, budget->held + extra);
}

/* Whether spent tokens and this host's use, which no other host can return,
   exhaust the budget.  */
static bool
is_exhausted (const struct mq_budget *budget, uint64_t holder, uint64_t limit,
              uint64_t most)
{
  uint64_t used = grant_of (&budget->record, holder) - budget->held;

  return budget->record.spent + used + most > limit;
}

/* Size of a grant for turns of MOST when SPACE tokens can be granted.  */
static uint64_t
grant_size (uint64_t most, uint64_t space)
{
  uint64_t size = space / MQ_BUDGET_GRANT_DIVISOR;

  if (size > most * MQ_BUDGET_GRANT_TURNS)
    size = most * MQ_BUDGET_GRANT_TURNS;
  return size > most ? size : most;
}

enum mq_budget_decision
mq_budget_reserve (struct mq_budget *budget, uint64_t holder, uint64_t limit,
                   uint64_t most, struct mq_budget_record *next)
{
  uint64_t unused = available (budget);
  uint64_t space = grantable (budget, limit);
  uint64_t extra;

  if (mq_budget_reserve_local (budget, most))
    return MQ_BUDGET_RESERVED;
  if (unused + space < most)
    {
      if (!budget->known)
        return MQ_BUDGET_READ;
      return is_exhausted (budget, holder, limit, most) ? MQ_BUDGET_EXHAUSTED
                                                        : MQ_BUDGET_UNCERTAIN;
    }
  extra = grant_size (most, space) - unused;
  if (extra > space)
    extra = most - unused;
  cancel_issued (budget);
  build_next (budget, holder, limit, extra, next);
  return MQ_BUDGET_WRITE;
}

bool
mq_budget_reserve_local (struct mq_budget *budget, uint64_t most)
{
  if (available (budget) < most)
    return false;
  budget->reserved += most;
  return true;
}

void
mq_budget_record_written (struct mq_budget *budget, uint64_t holder,
                          const struct mq_budget_record *record,
                          uint64_t version)
{
  uint64_t before = grant_of (&budget->record, holder);
  uint64_t used = before - budget->held;

  /* Turns may have ended while the write was in progress.  */
  budget->held = grant_of (record, holder) - (used - budget->settling);
  budget->issued -= budget->recording;
  budget->recording = 0;
  budget->record = *record;
  budget->version = version;
  budget->known = true;
}

static void
cap_reserved (struct mq_budget *budget)
{
  if (budget->reserved > budget->held + budget->ungranted)
    budget->reserved = budget->held + budget->ungranted;
}

void
mq_budget_record_read (struct mq_budget *budget, uint64_t holder,
                       const struct mq_budget_record *record, uint64_t version)
{
  uint64_t ours = grant_of (&budget->record, holder);
  uint64_t theirs = version == 0 ? 0 : grant_of (record, holder);

  budget->known = true;
  budget->version = version;
  if (version == 0)
    memset (&budget->record, 0, sizeof budget->record);
  else
    budget->record = *record;
  /* A larger grant comes from a write that timed out but was applied; its
     tokens are unused.  A smaller one was counted as spent by another host. */
  if (theirs >= ours)
    budget->held += theirs - ours;
  else if (budget->held > theirs)
    budget->held = theirs;
  cap_reserved (budget);
}

/* Uses tokens outside the grant first, as other hosts may need them.  */
void
mq_budget_settle (struct mq_budget *budget, uint64_t granted, uint64_t used)
{
  uint64_t ungranted = used < budget->ungranted ? used : budget->ungranted;
  uint64_t rest = used - ungranted;

  budget->reserved -= granted < budget->reserved ? granted : budget->reserved;
  budget->ungranted -= ungranted;
  budget->held -= rest < budget->held ? rest : budget->held;
  cap_reserved (budget);
}

uint64_t
mq_budget_lend (struct mq_budget *budget, uint64_t want)
{
  uint64_t free = available (budget);
  uint64_t given = want < free ? want : free;
  uint64_t ungranted = given < budget->ungranted ? given : budget->ungranted;

  budget->ungranted -= ungranted;
  budget->held -= given - ungranted;
  budget->lent += given;
  return given;
}

void
mq_budget_receive_loan (struct mq_budget *budget, uint64_t tokens)
{
  budget->ungranted += tokens;
}

uint64_t
mq_budget_return_loan (struct mq_budget *budget)
{
  uint64_t free = available (budget);
  uint64_t given = free < budget->ungranted ? free : budget->ungranted;

  budget->ungranted -= given;
  return given;
}

void
mq_budget_reclaim_loan (struct mq_budget *budget, uint64_t tokens)
{
  uint64_t back = tokens < budget->lent ? tokens : budget->lent;

  budget->lent -= back;
  budget->ungranted += back;
}

bool
mq_budget_is_overdrawn (const struct mq_budget *budget, uint64_t limit)
{
  return budget->known && recorded_total (&budget->record) > limit;
}

bool
mq_budget_can_reserve (const struct mq_budget *budget, uint64_t most)
{
  return available (budget) >= most;
}

bool
mq_budget_is_first_holder (const struct mq_budget *budget, uint64_t holder)
{
  return budget->known && budget->record.spent == 0
         && !mq_budget_has_other_grants (budget, holder);
}

bool
mq_budget_has_other_grants (const struct mq_budget *budget, uint64_t holder)
{
  const struct mq_budget_record *record = &budget->record;

  for (uint32_t i = 0; i < record->grant_count; i++)
    if (record->grants[i].holder != holder)
      return true;
  return false;
}

void
mq_budget_issue_unrecorded (struct mq_budget *budget, uint64_t limit,
                            uint64_t most)
{
  if (budget->issued >= most || mq_budget_is_overdrawn (budget, limit))
    return;
  budget->ungranted += most - budget->issued;
  budget->issued = most;
}

bool
mq_budget_release (struct mq_budget *budget, uint64_t holder, uint64_t limit,
                   uint64_t most, struct mq_budget_record *next)
{
  uint64_t granted = grant_of (&budget->record, holder);

  if (budget->reserved > 0 || budget->held == 0 || granted == 0
      || grantable (budget, limit) >= most)
    return false;
  build_next (budget, holder, limit, 0, next);
  set_grant (next, holder, 0);
  budget->held = 0;
  budget->settling = granted;
  return true;
}

bool
mq_budget_record_issued (struct mq_budget *budget, uint64_t holder,
                         uint64_t limit, struct mq_budget_record *next)
{
  cancel_issued (budget);
  if (budget->issued == 0)
    return false;
  build_next (budget, holder, limit, 0, next);
  return true;
}

struct mq_bytes
mq_budget_pack (TALLOC_CTX *ctx, const struct mq_budget_record *record)
{
  Mqturn__BudgetRow row = MQTURN__BUDGET_ROW__INIT;
  Mqturn__Grant grants[MQ_BUDGET_HOLDERS_MAX];
  Mqturn__Grant *list[MQ_BUDGET_HOLDERS_MAX];
  struct mq_bytes bytes;

  row.limit = record->limit;
  row.spent = record->spent;
  row.until_s = record->until_s;
  row.home = record->home;
  row.version = record->stream_version;
  row.n_grants = record->grant_count;
  row.grants = list;
  for (uint32_t i = 0; i < record->grant_count; i++)
    {
      mqturn__grant__init (&grants[i]);
      grants[i].holder = record->grants[i].holder;
      grants[i].tokens = record->grants[i].tokens;
      list[i] = &grants[i];
    }
  bytes.len = mqturn__budget_row__get_packed_size (&row);
  bytes.data = talloc_size (ctx, bytes.len + 1);
  if (bytes.data != NULL)
    mqturn__budget_row__pack (&row, bytes.data);
  return bytes;
}

bool
mq_budget_unpack (struct mq_bytes bytes, struct mq_budget_record *record)
{
  Mqturn__BudgetRow *row
      = mqturn__budget_row__unpack (NULL, bytes.len, bytes.data);
  bool fits = row != NULL && row->n_grants <= MQ_BUDGET_HOLDERS_MAX;

  *record = (struct mq_budget_record){ 0 };
  if (fits)
    {
      record->limit = row->limit;
      record->spent = row->spent;
      record->until_s = row->until_s;
      record->home = row->home;
      record->stream_version = row->version;
      record->grant_count = (uint32_t)row->n_grants;
      for (uint32_t i = 0; i < record->grant_count; i++)
        record->grants[i] = (struct mq_budget_grant){ row->grants[i]->holder,
                                                      row->grants[i]->tokens };
    }
  if (row != NULL)
    mqturn__budget_row__free_unpacked (row, NULL);
  return fits;
}
