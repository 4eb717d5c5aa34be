/* orgs.h - organisations of one configuration version: names, keys, limits.

   A set is immutable once it is built.  Pure.
   Needs: key_set.h, error.h.  */

#ifndef MQ_ORGS_H
#define MQ_ORGS_H

#include "../error.h"
#include "key_set.h"

/* Size of the longest name and key, including the terminator.  */
#define MQ_ORG_NAME_MAX 128U
#define MQ_ORG_KEY_MAX 257U
/* Length of the prefix that mq_org_scoped_id adds to an id.  */
#define MQ_ORG_SCOPE_BYTES 17U

/**
 * struct mq_quota_limit - request quota of an organisation over all hosts
 * @rate: thousandths of a request per second, 0 for unlimited
 * @burst: bucket depth, thousandths of a request
 */
struct mq_quota_limit
{
  uint64_t rate;
  uint64_t burst;
};

/**
 * struct mq_org - an organisation
 * @name: configured name
 * @scope: hexadecimal digest of the name, prefix of program and turn ids
 * @has_priority: whether @priority overrides that of a route
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

/* Creates a set with capacity for COUNT organisations.  SEED is passed to
   mq_key_set_create.  Returns NULL if out of memory.  */
struct mq_orgs *mq_orgs_create (TALLOC_CTX *ctx, size_t count, uint64_t seed);
void mq_orgs_destroy (struct mq_orgs *orgs);
/* Adds ORG and copies its name.  Returns its index, or MQ_KEY_NO_OWNER with
   ERROR set if the name is empty, too long or a duplicate, or the set is full.
 */
uint32_t mq_orgs_add (struct mq_orgs *orgs, const struct mq_org *org,
                      struct mq_error *error);
/* Adds KEY to the organisation INDEX.  Returns false with ERROR set if the key
   is empty, too long or already assigned.  The error never contains the key.
 */
bool mq_orgs_add_key (struct mq_orgs *orgs, uint32_t index, const char *key,
                      struct mq_error *error);
/* Returns the organisation that owns KEY, or NULL.  KEY may be NULL.  */
const struct mq_org *mq_orgs_find_key (const struct mq_orgs *orgs,
                                       const char *key);
const struct mq_org *mq_orgs_find_name (const struct mq_orgs *orgs,
                                        const char *name);
size_t mq_orgs_count (const struct mq_orgs *orgs);

/* Returns ID prefixed with the organisation's scope, so that equal ids of two
   organisations do not collide.  ORG is NULL for callers without one.  The
   caller frees the result.  */
char *mq_org_scoped_id (TALLOC_CTX *ctx, const struct mq_org *org,
                        const char *id);

#endif
