/* text_diff.h - what changes from one operators' text to the next.

   Pure; the lines for people and the JSON come from the same list.
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
 * @type: whether a section was added or removed, or a key of it changed
 * @section: type of the section: site, organisation, service, route
 * @name: its name; empty for the site
 * @key: CHANGED: the key, else empty
 * @before: CHANGED: value as written before, else empty
 * @after: CHANGED: value as written now, else empty
 * @effect: what it does, one line
 * @refused: the change can't be applied to a site that is in use
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

/* BEFORE may be NULL: then everything is added.  The result borrows the
   names of both texts.  NULL when memory is out.  */
struct mq_text_diff *mq_text_diff_create (TALLOC_CTX *ctx,
                                          const struct mq_text *before,
                                          const struct mq_text *after);
/* First change that is refused, NULL when there is none.  */
const struct mq_text_change *
mq_text_diff_refused (const struct mq_text_diff *diff);
/* Two lines for each change, "no difference" when there is none.  */
char *mq_text_diff_text (TALLOC_CTX *ctx, const struct mq_text_diff *diff);
/* {"changes":[{"type":…,"section":…,…}]}  */
char *mq_text_diff_json (TALLOC_CTX *ctx, const struct mq_text_diff *diff);

#endif
