/* shares.c - divides the room of a service among the organisations that ask
   for it.

   Needs: shares.h, id.h, memory.h.  */

#include "shares.h"
#include "../id.h"
#include "../memory.h"
#include <string.h>

/* Programs are counted by slots of the window, which leave it whole.  */
#define SLOTS 8U
#define SLOT_MS (MQ_SHARES_WINDOW_MS / SLOTS)
/* Demand and levels are in this part of a program.  */
#define DEMAND_UNIT 100000U
/* A program that asks counts itself, which makes an organisation of few
   programs look larger than it is; the others in the window are a sample of
   its demand.  This much is left out.

   Failure: at a host that sees few programs, organisations within their share
   are refused like those above it.  */
#define SELF (DEMAND_UNIT * 8 / 10)

/**
 * struct window - counts of programs by the slot of their time
 * @newest: number of the latest slot, from the start of the clock
 */
struct window
{
  uint64_t newest;
  uint16_t counts[SLOTS];
};

/**
 * struct row - an organisation
 * @id: hash of the name
 * @asked_ms: latest program that asked to begin
 */
struct row
{
  struct mq_id id;
  char *name;
  uint32_t weight;
  uint64_t asked_ms;
  struct window demand;
  struct window refused;
};

/**
 * struct mq_shares - recent demand of organisations
 * @rows: in the order in which they came
 */
struct mq_shares
{
  struct row *rows[MQ_SHARES_ORGANISATIONS_MAX];
  size_t count;
};

/**
 * struct asking - an organisation at the time of a decision
 * @asked: its programs, in DEMAND_UNITs
 * @demand: its demand as estimated from them
 * @whole: its demand is below its share
 */
struct asking
{
  uint64_t asked;
  uint64_t demand;
  uint32_t weight;
  bool whole;
};

struct mq_shares *
mq_shares_create (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, struct mq_shares);
}

void
mq_shares_destroy (struct mq_shares *shares)
{
  talloc_free (shares);
}

/* Clears the slots between the newest one and SLOT.  */
static void
window_advance (struct window *window, uint64_t slot)
{
  uint64_t first = window->newest + 1;

  if (slot >= first + SLOTS)
    first = slot - SLOTS + 1;
  for (uint64_t old = first; old <= slot; old++)
    window->counts[old % SLOTS] = 0;
  if (slot > window->newest)
    window->newest = slot;
}

static void
window_add (struct window *window, uint64_t now_ms)
{
  uint64_t slot = now_ms / SLOT_MS;
  uint16_t *count = &window->counts[slot % SLOTS];

  window_advance (window, slot);
  if (*count < UINT16_MAX)
    (*count)++;
}

/* Number of programs in the slots of the window that ends now.  */
static uint32_t
window_sum (const struct window *window, uint64_t now_ms)
{
  uint64_t now = now_ms / SLOT_MS;
  uint32_t sum = 0;

  for (uint64_t age = 0; age < SLOTS; age++)
    if (window->newest >= age && window->newest - age + SLOTS > now)
      sum += window->counts[(window->newest - age) % SLOTS];
  return sum;
}

/* Index of the organisation, or the number of rows.  */
static size_t
find_index (const struct mq_shares *shares, const char *organisation)
{
  struct mq_id id = mq_id_from_text (organisation);
  size_t i = 0;

  while (i < shares->count && !mq_id_equal (shares->rows[i]->id, id))
    i++;
  return i;
}

static struct row *
find_row (const struct mq_shares *shares, const char *organisation)
{
  size_t i = find_index (shares, organisation);

  return i < shares->count ? shares->rows[i] : NULL;
}

/* Index for a new row: a free one, or that of the organisation that asked
   longest ago.  */
static size_t
make_room (struct mq_shares *shares)
{
  size_t oldest = 0;

  if (shares->count < MQ_SHARES_ORGANISATIONS_MAX)
    return shares->count++;
  for (size_t i = 1; i < shares->count; i++)
    if (shares->rows[i]->asked_ms < shares->rows[oldest]->asked_ms)
      oldest = i;
  talloc_free (shares->rows[oldest]);
  return oldest;
}

static struct row *
add_row (struct mq_shares *shares, const char *organisation)
{
  struct row *row = mq_check_alloc (talloc_zero (shares, struct row));

  row->id = mq_id_from_text (organisation);
  row->name = mq_text_copy (row, organisation);
  shares->rows[make_room (shares)] = row;
  return row;
}

void
mq_shares_record_demand (struct mq_shares *shares, const char *organisation,
                         uint32_t weight, uint64_t now_ms)
{
  struct row *row = find_row (shares, organisation);

  if (row == NULL)
    row = add_row (shares, organisation);
  row->weight = weight < MQ_SHARES_WEIGHT_MAX ? weight : MQ_SHARES_WEIGHT_MAX;
  if (row->weight == 0)
    row->weight = 1;
  row->asked_ms = now_ms;
  window_add (&row->demand, now_ms);
}

void
mq_shares_record_refused (struct mq_shares *shares, const char *organisation,
                          uint64_t now_ms)
{
  struct row *row = find_row (shares, organisation);

  if (row != NULL)
    window_add (&row->refused, now_ms);
}

static struct asking
make_asking (const struct row *row, uint64_t now_ms)
{
  uint64_t asked = (uint64_t)window_sum (&row->demand, now_ms) * DEMAND_UNIT;

  return (struct asking){ .asked = asked,
                          .demand = asked > SELF ? asked - SELF : 1,
                          .weight = row->weight };
}

/* Lists the organisations that ask; returns their number.  */
static size_t
list_asking (const struct mq_shares *shares, struct asking *list,
             uint64_t now_ms)
{
  size_t count = 0;

  for (size_t i = 0; i < shares->count; i++)
    {
      list[count] = make_asking (shares->rows[i], now_ms);
      if (list[count].asked > 0)
        count++;
    }
  return count;
}

/* Programs of ASKING that each DEMAND_UNIT of the level admits, in
   DEMAND_UNITs.  */
static uint64_t
slope (const struct asking *asking)
{
  return asking->weight * asking->asked * DEMAND_UNIT / asking->demand;
}

/* Grants their whole demand to the organisations that ask for less than LEVEL
   by weight, out of *ROOM.  Returns whether there was one.  */
static bool
grant_whole (struct asking *list, size_t count, uint64_t level, uint64_t *room,
             uint64_t *slopes)
{
  bool granted = false;

  for (size_t i = 0; i < count; i++)
    if (!list[i].whole && list[i].demand <= level * list[i].weight)
      {
        list[i].whole = true;
        *room -= list[i].asked < *room ? list[i].asked : *room;
        *slopes -= slope (&list[i]);
        granted = true;
      }
  return granted;
}

/* The level: what each organisation may use by weight, in DEMAND_UNITs, so
   that the sum of what all use is PART of what they ask for.  */
static uint64_t
find_level (struct asking *list, size_t count, uint32_t part)
{
  uint64_t room = 0;
  uint64_t slopes = 0;
  uint64_t level;

  for (size_t i = 0; i < count; i++)
    {
      room += list[i].asked;
      slopes += slope (&list[i]);
    }
  if (slopes == 0)
    return 0;
  room = room * part / MQ_SHARES_ALL;
  do
    level = room * DEMAND_UNIT / slopes;
  while (grant_whole (list, count, level, &room, &slopes) && slopes > 0);
  return level;
}

uint32_t
mq_shares_admitted (const struct mq_shares *shares, const char *organisation,
                    uint32_t part, uint64_t now_ms)
{
  struct asking list[MQ_SHARES_ORGANISATIONS_MAX];
  const struct row *row = find_row (shares, organisation);
  struct asking own;
  uint64_t share;

  if (row == NULL || part == 0 || part >= MQ_SHARES_ALL)
    return part;
  own = make_asking (row, now_ms);
  if (own.asked == 0)
    return part;
  share = find_level (list, list_asking (shares, list, now_ms), part)
          * own.weight;
  if (share >= own.demand)
    return MQ_SHARES_ALL;
  return (uint32_t)((share * MQ_SHARES_ALL + own.demand / 2) / own.demand);
}

static struct mq_shares_report
report_row (const struct row *row, uint64_t now_ms)
{
  return (struct mq_shares_report){
    .organisation = row->name,
    .demand = window_sum (&row->demand, now_ms),
    .refused = window_sum (&row->refused, now_ms),
  };
}

static void
add_report (struct mq_shares_report *sum,
            const struct mq_shares_report *report)
{
  sum->demand += report->demand;
  sum->refused += report->refused;
}

struct mq_shares_report
mq_shares_report (const struct mq_shares *shares, const char *organisation,
                  uint64_t now_ms)
{
  struct mq_shares_report sum = { .organisation = organisation };

  for (size_t i = 0; i < shares->count; i++)
    {
      struct mq_shares_report report = report_row (shares->rows[i], now_ms);

      if (organisation == NULL
          || strcmp (organisation, report.organisation) == 0)
        add_report (&sum, &report);
    }
  return sum;
}

/* Inserts REPORT into the list of COUNT, highest demand first, which must have
   room for one more.  */
static void
insert_report (struct mq_shares_report *list, size_t count,
               const struct mq_shares_report *report)
{
  size_t at = count;

  while (at > 0 && list[at - 1].demand < report->demand)
    {
      list[at] = list[at - 1];
      at--;
    }
  list[at] = *report;
}

size_t
mq_shares_busiest (const struct mq_shares *shares,
                   struct mq_shares_report *reports, size_t max,
                   struct mq_shares_report *rest, uint64_t now_ms)
{
  size_t count = 0;

  *rest = (struct mq_shares_report){ .demand = 0 };
  for (size_t i = 0; i < shares->count; i++)
    {
      struct mq_shares_report report = report_row (shares->rows[i], now_ms);

      if (report.demand == 0)
        continue;
      if (count == max
          && (max == 0 || reports[max - 1].demand >= report.demand))
        add_report (rest, &report);
      else
        {
          if (count == max)
            add_report (rest, &reports[--count]);
          insert_report (reports, count++, &report);
        }
    }
  return count;
}
