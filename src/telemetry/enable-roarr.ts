/**
 * Enables roarr. It reads `ROARR_LOG` once, when its module is loaded, and permanently
 * drops every line unless the value is `true`. This module is imported before roarr, so that a
 * daemon that is started without the variable still writes its events.
 *
 * @internal
 */
process.env.ROARR_LOG = 'true';
