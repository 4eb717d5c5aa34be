/* text.h - the operators' configuration text: services and dependencies.

   Parses a buffer of INI text into a read-only structure, or returns a list
   of all errors in it.  No I/O.
   Needs: inih (on a buffer), types.h, error.h.  */

#ifndef MQ_TEXT_H
#define MQ_TEXT_H

#include "../error.h"
#include "../types.h"

/**
 * struct mq_budget - limits of one program of a service
 * @tokens: generated tokens, sub-programs included
 * @turns: calls of any kind, sub-programs included
 * @seconds: since it was opened, excluding time spent waiting for a person
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
 * @depends: agents: indices of the services that may be called
 * @budget: agents: limits of one program
 * @priority: agents: priority class of programs
 * @prompt: agents: text at the start of every history
 * @model: model services: name of the model that engines must serve
 * @max_tokens: model services: limit on generated tokens of one call
 * @timeout_ms: model, plain, tool: call timeout
 * @idempotent: tools: the call may be repeated
 * @path: tools: URL path of the call
 * @routes: plain services: their [route SERVICE.NAME] sections
 * @checks_fence: targets reject orders with an old fencing token
 * @retry_percent: limit on retries, in percent of calls
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
 * @key_hash: SHA-256 of the organisation's API key
 * @weight: relative share of capacity under contention
 * @max_programs: limit on concurrent programs
 */
struct mq_organisation
{
  const char *name;
  uint8_t key_hash[MQ_KEY_BYTES];
  uint32_t weight;
  uint32_t max_programs;
};

/**
 * struct mq_text - a validated configuration
 * @version: version in the table, set by the code that loads it
 * @site: name of the site
 * @partitions: number of partitions, fixed for the lifetime of a site
 * @lease_ms: an owner that does not renew within this time may be replaced
 * @cache_lease_ms: a program's cache not renewed within this time is evicted
 * @services: in source order
 * @organisations: in source order
 * @services_by_name: indices sorted by name, for binary search
 * @organisations_by_name: indices sorted by name
 * @organisations_by_key: indices sorted by key_hash
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

/* Returns NULL on error; ERRORS then lists all errors.  */
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
