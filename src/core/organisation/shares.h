/* shares.h - divides the room of a service among the organisations that ask
   for it.

   Guards against one organisation's crowd making the programs of all others
   late or refused.  While a service cannot admit every new program, its room
   is divided max-min: an organisation that asks for less than its share is
   admitted whole, and what it leaves goes to the others.  What an organisation
   did not use earlier neither counts for it nor against it.

   Demand is counted from the programs that ask this host to begin: a sample,
   since callers reach hosts by chance.  Pure: callers pass the time.
   Needs: types.h.  */

#ifndef MQ_SHARES_H
#define MQ_SHARES_H

#include "../types.h"

struct mq_shares;

/* All programs of an organisation are admitted.  */
#define MQ_SHARES_ALL 1000U
/* Demand is that of this time.  */
#define MQ_SHARES_WINDOW_MS 4000U
/* Organisations whose demand is kept; the one that asked longest ago is
   dropped for a new one.  */
#define MQ_SHARES_ORGANISATIONS_MAX 256U
/* Highest weight; one above counts as this.  */
#define MQ_SHARES_WEIGHT_MAX 1000U

/* Returns NULL if out of memory.  */
struct mq_shares *mq_shares_create (TALLOC_CTX *ctx);
void mq_shares_destroy (struct mq_shares *shares);
/* Counts a program of ORGANISATION that asks to begin, whether or not it is
   admitted.  WEIGHT: 1 unless the configuration says otherwise, at least 1. */
void mq_shares_record_demand (struct mq_shares *shares,
                              const char *organisation, uint32_t weight,
                              uint64_t now_ms);
/* Counts a program of ORGANISATION that was refused.  */
void mq_shares_record_refused (struct mq_shares *shares,
                               const char *organisation, uint64_t now_ms);
/**
 * mq_shares_admitted - part of an organisation's programs to admit
 * @shares: recent demand of this service's organisations
 * @organisation: its name
 * @part: part of all programs that the service can admit, in thousandths
 * @now_ms: monotonic clock
 *
 * The parts of all organisations, weighted by their demand, add up to @part.
 *
 * Return: thousandths, MQ_SHARES_ALL at most; @part if the demand is unknown.
 */
uint32_t mq_shares_admitted (const struct mq_shares *shares,
                             const char *organisation, uint32_t part,
                             uint64_t now_ms);

/**
 * struct mq_shares_report - demand within the window
 * @organisation: its name, valid until the next call that records; NULL for
 *                the sum of several
 * @demand: programs that asked to begin
 * @refused: of them refused
 */
struct mq_shares_report
{
  const char *organisation;
  uint32_t demand;
  uint32_t refused;
};

/* Demand of ORGANISATION; of all if NULL.  */
struct mq_shares_report mq_shares_report (const struct mq_shares *shares,
                                          const char *organisation,
                                          uint64_t now_ms);
/* Writes the organisations of highest demand to REPORTS, highest first, and
   the sum of the others to *REST.  Returns how many it wrote, MAX at most.  */
size_t mq_shares_busiest (const struct mq_shares *shares,
                          struct mq_shares_report *reports, size_t max,
                          struct mq_shares_report *rest, uint64_t now_ms);

#endif
