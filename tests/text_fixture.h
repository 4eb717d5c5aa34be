/* text_fixture.h - helpers for tests of configuration texts.

   Needs: text.h, Criterion.  */

#ifndef MQ_TEXT_FIXTURE_H
#define MQ_TEXT_FIXTURE_H

#include "core/text/text.h"

/* Smallest [site] section; other sections may follow.  */
#define FIXTURE_SITE "[site]\nname = s\n"
#define FIXTURE_MODEL "[service m]\nkind = model\nmodel = x\n"

/* Paths of the example texts, NULL-terminated.  */
extern const char *const fixture_examples[];

/* Reads a file into a zero-terminated buffer below CTX; fails the test on
   error.  */
char *fixture_read (TALLOC_CTX *ctx, const char *file, size_t *len);
/* Parses SOURCE; fails the test on error.  */
struct mq_text *fixture_parse (TALLOC_CTX *ctx, const char *source);

#endif
