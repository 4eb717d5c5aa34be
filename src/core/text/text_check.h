/* text_check.h - checks across the sections of an operators' text.

   Needs: text_keys.h.  */

#ifndef MQ_TEXT_CHECK_H
#define MQ_TEXT_CHECK_H

#include "text_keys.h"

/**
 * struct mq_text_draft - a text that is being read
 * @text: what is known so far, its three indices included
 * @ini: where it came from
 * @rows: for each section of @ini its row of the table, NULL: not usable
 * @service_sections: section of each service
 * @organisation_sections: section of each organisation
 * @errors: what was found so far
 */
struct mq_text_draft
{
  struct mq_text *text;
  struct mq_ini *ini;
  const struct mq_key_section **rows;
  const struct mq_ini_section **service_sections;
  const struct mq_ini_section **organisation_sections;
  struct mq_error_list errors;
};

/* Resolves dependencies and routes and lists what does not fit together:
   unknown names, circles, budgets, models, keys given twice.  */
void mq_text_check (struct mq_text_draft *draft);

#endif
