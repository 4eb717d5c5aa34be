/* text.h - the operators' text: services and what each depends on.

   Parses, checks, compares and prints the INI text.  Pure: takes a buffer,
   gives a read-only structure or a list of every error in it.
   Needs: inih (on a buffer), types.h, error.h.  */

#ifndef MQ_TEXT_H
#define MQ_TEXT_H

#include "../error.h"
#include "../types.h"

/**
 * struct mq_budget - what one program of a service may spend
 * @tokens: generated tokens, sub-programs included
 * @turns: calls of any kind, sub-programs included
 * @seconds: from its opening; time that waits for a person does not count
 */
struct mq_budget
{
  uint64_t tokens;
  uint32_t turns;
  uint32_t seconds;
};

struct mq_route
{
  const char *name;
  const char *path;
  bool idempotent;
};

/**
 * struct mq_service - one [service NAME] section
 * @name: its name
 * @kind: agent, model, plain or tool
 * @depends: indices of services it may call (agents only)
 * @depend_count: how many
 * @budget: agents: budget of one program
 * @priority: agents: priority class of its programs
 * @prompt: agents: text that begins every history
 * @model: model services: model that its engines must serve
 * @max_tokens: model services: most tokens of one answer
 * @timeout_ms: model, plain, tool: a call that runs longer is given up
 * @idempotent: tools: the call may be repeated
 * @path: tools: path of the call
 * @routes: plain services: their [route SERVICE.NAME] sections
 * @route_count: how many
 * @checks_fence: the targets refuse an order with an old fencing number
 * @retry_percent: retries allowed, as a share of calls
 */
struct mq_service
{
  const char *name;
  enum mq_service_kind kind;
  uint32_t *depends;
  size_t depend_count;
  struct mq_budget budget;
  enum mq_priority priority;
  const char *prompt;
  const char *model;
  uint32_t max_tokens;
  uint32_t timeout_ms;
  bool idempotent;
  const char *path;
  struct mq_route *routes;
  size_t route_count;
  bool checks_fence;
  uint32_t retry_percent;
};

/**
 * struct mq_organisation - one [organisation NAME] section
 * @name: its name
 * @key_hash: SHA-256 of its key
 * @weight: share of capacity when there is not enough for all
 * @max_programs: programs under way at a time
 */
struct mq_organisation
{
  const char *name;
  uint8_t key_hash[MQ_KEY_BYTES];
  uint32_t weight;
  uint32_t max_programs;
};

/**
 * struct mq_text - a whole checked text
 * @version: its version in the table, set by who read it from there
 * @site: name of the site
 * @partitions: number of partitions, fixed for the life of a site
 * @lease_ms: an owner that is silent for longer may be taken over
 * @cache_lease_ms: cache of a program that is not renewed is evicted
 * @services: in the order of the text
 * @organisations: in the order of the text
 * @services_by_name: indices in name order, for the search functions
 * @organisations_by_name: likewise
 * @organisations_by_key: indices in key_hash order, likewise
 */
struct mq_text
{
  uint64_t version;
  const char *site;
  uint32_t partitions;
  uint32_t lease_ms;
  uint32_t cache_lease_ms;
  struct mq_service *services;
  size_t service_count;
  struct mq_organisation *organisations;
  size_t organisation_count;
  uint32_t *services_by_name;
  uint32_t *organisations_by_name;
  uint32_t *organisations_by_key;
};

struct mq_text_errors
{
  struct mq_error *items; /* in line order */
  size_t count;
};

/* NULL when there is an error; ERRORS then lists all of them.  */
struct mq_text *mq_text_parse (TALLOC_CTX *ctx, const char *source, size_t len,
                               struct mq_text_errors *errors);
const struct mq_service *mq_text_find_service (const struct mq_text *text,
                                               const char *name);
const struct mq_route *mq_text_find_route (const struct mq_service *service,
                                           const char *name);
const struct mq_organisation *
mq_text_find_organisation (const struct mq_text *text, const char *name);
const struct mq_organisation *
mq_text_find_key (const struct mq_text *text,
                  const uint8_t key_hash[MQ_KEY_BYTES]);
bool mq_text_depends (const struct mq_text *text,
                      const struct mq_service *from,
                      const struct mq_service *on);

#endif
