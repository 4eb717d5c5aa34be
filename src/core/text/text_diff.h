/* text_diff.h - differences between two configurations, as text or JSON.
   Needs: text.h, text_keys.h, jansson.  */

#ifndef MQ_TEXT_DIFF_H
#define MQ_TEXT_DIFF_H

#include "text.h"

enum mq_change_type
{
  MQ_CHANGE_ADDED,
  MQ_CHANGE_REMOVED,
  MQ_CHANGE_CHANGED
};

/**
 * struct mq_text_change - one difference
 * @type: section added, section removed, or key changed
 * @section: section type: site, organisation, service or route
 * @name: section name; empty for the site
 * @key: MQ_CHANGE_CHANGED: the key, else empty
 * @before: MQ_CHANGE_CHANGED: formatted old value, else empty
 * @after: MQ_CHANGE_CHANGED: formatted new value, else empty
 * @effect: consequence of the change, one line
 * @refused: the change can't be applied to an existing site
 */
struct mq_text_change
{
  enum mq_change_type type;
  const char *section;
  const char *name;
  const char *key;
  const char *before;
  const char *after;
  const char *effect;
  bool refused;
};

struct mq_text_diff
{
  struct mq_text_change *items;
  size_t count;
};

/* If BEFORE is NULL, everything counts as added.  The result refers to names
   in both texts, which must outlive it.  NULL when out of memory.  */
struct mq_text_diff *mq_text_diff_create (TALLOC_CTX *ctx,
                                          const struct mq_text *before,
                                          const struct mq_text *after);
/* First refused change, NULL if none.  */
const struct mq_text_change *
mq_text_diff_refused (const struct mq_text_diff *diff);
/* Two lines per change, or "no difference".  */
char *mq_text_diff_text (TALLOC_CTX *ctx, const struct mq_text_diff *diff);
/* {"changes":[{"type":…,"section":…,…}]}  */
char *mq_text_diff_json (TALLOC_CTX *ctx, const struct mq_text_diff *diff);

#endif
