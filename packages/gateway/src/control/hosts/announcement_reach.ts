/** Which hosts an announcement is sent to; some are enough if it is repeated. */
export type AnnouncementReach = 'allHosts' | 'someHosts' | 'fewHosts';
