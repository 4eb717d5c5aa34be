/* orgs.h - the organisations of one configuration: their names, keys, limits.

   A struct mq_org is an organisation as the router sees it.  A set is built
   from one version of the configuration and never changes afterwards.  Pure.
   Needs: key_set.h, error.h.  */

#ifndef MQ_ORGS_H
#define MQ_ORGS_H

#include "../error.h"
#include "key_set.h"

/* Longest name and key, terminator included.  */
#define MQ_ORG_NAME_MAX 128U
#define MQ_ORG_KEY_MAX 257U
/* Bytes that mq_org_scoped_id puts before an id.  */
#define MQ_ORG_SCOPE_BYTES 17U

/**
 * struct mq_quota_limit - how many requests an organisation may have run, all
 *                         hosts together
 * @rate: thousandths of a request a second, 0: as many as it likes
 * @burst: requests beyond the rate, thousandths
 */
struct mq_quota_limit
{
  uint64_t rate;
  uint64_t burst;
};

/**
 * struct mq_org - one organisation
 * @name: the operators' name of it
 * @scope: names it in ids of programs and turns: a digest of the name
 * @has_priority: @priority goes before that of a route
 */
struct mq_org
{
  const char *name;
  char scope[MQ_ORG_SCOPE_BYTES];
  bool has_priority;
  uint32_t priority;
  struct mq_quota_limit limit;
};

struct mq_orgs;

/* Room for COUNT organisations.  SEED as for mq_key_set_create.  NULL when
   memory is out.  */
struct mq_orgs *mq_orgs_create (TALLOC_CTX *ctx, size_t count, uint64_t seed);
void mq_orgs_destroy (struct mq_orgs *orgs);
/* Adds ORG, whose name is copied; its index, or MQ_KEY_NO_OWNER with ERROR
   set: the name is empty, too long or taken, or there is no room.  */
uint32_t mq_orgs_add (struct mq_orgs *orgs, const struct mq_org *org,
                      struct mq_error *error);
/* KEY is one of the organisation INDEX; false with ERROR set when it is empty,
   too long or somebody's already.  The error never holds the key.  */
bool mq_orgs_add_key (struct mq_orgs *orgs, uint32_t index, const char *key,
                      struct mq_error *error);
/* NULL: nobody has KEY, which may be NULL.  */
const struct mq_org *mq_orgs_find_key (const struct mq_orgs *orgs,
                                       const char *key);
/* NULL: there is none of that name.  */
const struct mq_org *mq_orgs_find_name (const struct mq_orgs *orgs,
                                        const char *name);
size_t mq_orgs_count (const struct mq_orgs *orgs);

/* ID as it is kept, below CTX: two organisations with the same ids share
   nothing.  ORG NULL: a caller without an organisation.  */
char *mq_org_scoped_id (TALLOC_CTX *ctx, const struct mq_org *org,
                        const char *id);

#endif
