/**
 * roarr reads `ROARR_LOG` once, while it is loaded, and drops every line for good unless it is true.
 * Imported before roarr, so that a daemon started without the variable still writes its events.
 *
 * @internal
 */
process.env.ROARR_LOG = 'true';
